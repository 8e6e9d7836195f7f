/// \file
/// Client interface of the platform's versioned object store.
///
/// Errors are reported as absl::StatusCode:
///  - NotFound: no such object.
///  - Aborted: the object has another version than expected; nothing was
///    written. Of a watch: the store has closed its connection without an
///    answer, which alone does not show that the store fails.
///  - Unavailable: the store refused the call or could not be reached; nothing
///    was written.
///  - DeadlineExceeded: the store did not answer; a write may or may not have
///    taken effect.
///  - FailedPrecondition: the view of the mirror that was asked is
///    unconfirmed.
///  - OutOfRange: a watch starts at a version before the history that the store
///    keeps, or of an earlier era, or has missed more changes than the client
///    reads at once. The objects must be listed.
///  - Cancelled: the client has ended a watch, which may be repeated at once.
///  - ResourceExhausted: the store's or the client's rate limit is exceeded.
#ifndef BORAGEBRIDGE_PLATFORM_CLIENT_H
#define BORAGEBRIDGE_PLATFORM_CLIENT_H

#include "boragebridge/types.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <functional>
#include <optional>

namespace boragebridge {

/// Number of the histories of a store. When the store comes back from an
/// earlier copy, what it acknowledged since is gone, its write counter has gone
/// back, and its era has risen by one. 0 for a store that does not tell it.
using StoreEra = std::uint64_t;

/// Version of an object: the era of the store and, in the lower bits, the
/// revision, which is the value of the store's write counter at the last write
/// of the object. So a version of a later era is always the newer one. 0 means
/// that the object does not exist. Revisions stay below 2^44, and eras count
/// modulo 2^20.
using ObjectVersion = std::uint64_t;

inline constexpr unsigned RevisionBits = 44;

constexpr auto makeVersion(StoreEra era, std::uint64_t revision)
    -> ObjectVersion {
  return era << RevisionBits | revision;
}
constexpr auto eraOf(ObjectVersion v) -> StoreEra { return v >> RevisionBits; }
constexpr auto revisionOf(ObjectVersion v) -> std::uint64_t {
  return v & ((std::uint64_t{1} << RevisionBits) - 1);
}
/// The revision alone for the log; the era has a field of its own there.
inline auto toText(ObjectVersion v) -> std::string {
  return std::to_string(revisionOf(v));
}

/// An object of the store.
struct StoredObject {
  std::string Key;
  std::string Value;
  ObjectVersion Version = 0;
};

/// A change of an object. Removed is set, and the value empty, for a deletion.
struct ObjectEvent {
  StoredObject Object;
  bool Removed = false;
};

/// How a list or a watch was received; all zero if it did not come over the
/// network.
struct TransferReport {
  /// The store or the mirror that sent it.
  Endpoint From;
  /// Size of the body as it was sent, possibly compressed.
  std::size_t Bytes = 0;
  /// From the first to the last byte of the response.
  Duration Receiving{};
  /// Time that this process took to decompress and parse the body.
  Duration Parsing{};
};

/// Number that is equal for equal sets of objects, see store/view_digest.h.
using ViewDigest = std::uint64_t;

/// The result of a list or a watch, with the store version up to which it is
/// complete.
struct ObjectList {
  std::vector<ObjectEvent> Events;
  ObjectVersion CurrentVersion = 0;
  /// Entries that are left out, as their keys or versions cannot be read.
  std::size_t Unreadable = 0;
  TransferReport Transfer = {};
  /// In a mirror's answer to a watch, the digest of all objects below the
  /// prefix at CurrentVersion. Answers of the store have none.
  std::optional<ViewDigest> Digest = {};
};

/// Asynchronous client of the store. Each call ends with exactly one callback,
/// which runs on the instance's own thread and never within the call itself.
/// When a client is destroyed, the callbacks of its pending calls are not run.
class PlatformClient {
public:
  template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

  PlatformClient() = default;
  PlatformClient(const PlatformClient &) = delete;
  auto operator=(const PlatformClient &) -> PlatformClient & = delete;
  virtual ~PlatformClient() = default;

  /// Reads the object \p key.
  virtual auto get(std::string key, Callback<StoredObject> done) -> void = 0;
  /// Reads all objects whose key starts with \p prefix.
  virtual auto list(std::string prefix, Callback<ObjectList> done) -> void = 0;
  /// Writes \p value if the object's version is \p expected (0: the object must
  /// not exist). Returns the new version.
  virtual auto put(std::string key, std::string value, ObjectVersion expected,
                   Callback<ObjectVersion> done) -> void = 0;
  /// Removes the object if its version is \p expected.
  virtual auto remove(std::string key, ObjectVersion expected,
                      Callback<ObjectVersion> done) -> void = 0;
  /// Waits up to \p wait for changes below \p prefix after store version
  /// \p after. Returns an empty list if there were none. Counts as one call
  /// against the rate limit.
  virtual auto watch(std::string prefix, ObjectVersion after, Duration wait,
                     Callback<ObjectList> done) -> void = 0;
};

} // namespace boragebridge

#endif
