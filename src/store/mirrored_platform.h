/// \file
/// A decorator of PlatformClient that sends lists and watches to the mirror of
/// a parent, which is another instance, if there is one. All other calls go to
/// the store itself. A call that the parent does not answer is repeated at
/// once, at another parent if the owner sets one, else at the store; the parent
/// is not used during a backoff. A parent whose view is unconfirmed
/// (FailedPrecondition) is kept unless the store answers: most likely no
/// instance can reach the store.
#ifndef BORAGEBRIDGE_STORE_MIRRORED_PLATFORM_H
#define BORAGEBRIDGE_STORE_MIRRORED_PLATFORM_H

#include "boragebridge/clock.h"
#include "boragebridge/platform_client.h"
#include "store/store_probe.h"

#include <map>
#include <memory>
#include <optional>

namespace boragebridge {

struct MirroredPlatformOptions {
  /// Limit of the wait of a watch at a parent. A parent that has stopped
  /// responding is detected after this time plus the grace of the client.
  Duration MaxParentWait = std::chrono::milliseconds(800);
  /// While the view of the parent is unconfirmed, the store is read at most
  /// once in this time for each prefix, as most likely no instance can reach
  /// it.
  Duration StoreRetryInterval = std::chrono::milliseconds(1200);
  /// Checks whether the store answers before it is read in place of such a
  /// parent. Empty: it is read without a check.
  StoreProbe::Send Probe = {};
  /// How long a parent that failed is not used.
  Duration ParentBackoff = std::chrono::seconds(3);
};

/// Which views a reader accepts from a mirror.
enum class MirrorView : std::uint8_t {
  Confirmed,
  /// Also unconfirmed views, which may be out of date; for an instance that
  /// starts while the store is unreachable.
  Any,
};

/// The decorator. Not thread-safe. Callbacks may be called from within the
/// calls of the clients that it is given.
class MirroredPlatform final : public PlatformClient {
public:
  /// Makes the client of the mirror at an address.
  using ClientFactory = std::function<std::unique_ptr<PlatformClient>(
      const Endpoint &, MirrorView)>;
  /// Called when a parent does not answer, or when its view is unconfirmed
  /// although the store answers. May set another parent.
  using OnParentFailed =
      std::function<void(const Endpoint &, const absl::Status &)>;

  /// \p store and \p time outlive the object.
  MirroredPlatform(PlatformClient &store, const Clock &time,
                   ClientFactory makeClient, OnParentFailed onFailed,
                   MirroredPlatformOptions opt = {});

  /// Makes a client of the mirror at \p address that also reads unconfirmed
  /// views. The caller owns it.
  auto makeMirrorClient(const Endpoint &address) const
      -> std::unique_ptr<PlatformClient> {
    return MakeClient(address, MirrorView::Any);
  }
  /// Mirrors serve the objects below \p prefix of the store in another form,
  /// below \p mirrorPrefix.
  auto setMirrorPrefix(const std::string &prefix, std::string mirrorPrefix)
      -> void {
    MirrorPrefixes[prefix] = std::move(mirrorPrefix);
  }
  /// The prefix below which mirrors serve the objects below \p prefix.
  auto mirrorPrefix(const std::string &prefix) const -> const std::string & {
    const auto it = MirrorPrefixes.find(prefix);
    return it == MirrorPrefixes.end() ? prefix : it->second;
  }
  /// Sends all later lists and watches to the mirror at \p parent; if unset, to
  /// the store.
  auto setParent(std::optional<Endpoint> parent) -> void;

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

  /// Lists \p prefix at the parent's mirror, and not at the store in its place.
  /// Precondition: hasParent().
  auto listParent(const std::string &prefix, Callback<ObjectList> done) -> void;
  /// Ends watches that were opened at the store while there was no parent, if
  /// there is one now. They end with Cancelled.
  auto moveWatchesToParent() -> void;
  /// Like list(), but always of the store itself.
  auto listStore(const std::string &prefix, Callback<ObjectList> done) -> void;

  /// The number of calls sent to the store, and to parents.
  auto storeCalls() const -> std::uint64_t { return StoreCalls; }
  auto parentCalls() const -> std::uint64_t { return ParentCalls; }
  /// Whether the next list or watch goes to a parent.
  auto hasParent() const -> bool;
  /// Whether this instance reads the store itself: the next list or watch goes
  /// to the store, or an earlier one is still open there.
  auto readsStore() const -> bool {
    return !hasParent() || *OpenStoreReads > 0;
  }

private:
  /// Repeats a list or a watch.
  struct Retry {
    /// At another parent, without waiting for changes.
    std::function<void(PlatformClient &, Callback<ObjectList>)> AtParent;
    /// At the store; a watch waits at most the given time.
    std::function<void(Duration wait, Callback<ObjectList>)> AtStore;
  };

  /// Returns the callback for a call to the parent. It passes the answer on to
  /// \p done, or repeats the call with \p retry at another parent or the store.
  auto withStoreFallback(const std::string &prefix, Callback<ObjectList> done,
                         Retry retry) -> Callback<ObjectList>;
  auto watchStore(const std::string &prefix, ObjectVersion after, Duration wait,
                  Callback<ObjectList> done) -> void;
  /// Watches the store until it answers or moveWatchesToParent() is called.
  auto watchStoreDirectly(const std::string &prefix, ObjectVersion after,
                          Duration wait, Callback<ObjectList> done) -> void;
  /// Counts a call to the store, and as an open one until \p done is called.
  auto countRead(Callback<ObjectList> done) -> Callback<ObjectList>;
  /// Repeats a call at the present parent, which has not failed, and at the
  /// store if that fails as well.
  auto readOtherParent(const std::string &prefix, Callback<ObjectList> done,
                       Retry retry) -> void;
  /// Repeats a call at the store after \p parent has answered it with
  /// FailedPrecondition (\p parentAnswer), if the store may be read now; else
  /// passes \p parentAnswer on to \p done.
  auto readStoreWhileUnconfirmed(const Endpoint &parent,
                                 const std::string &prefix,
                                 absl::StatusOr<ObjectList> parentAnswer,
                                 Callback<ObjectList> done, Retry retry)
      -> void;
  /// Whether the store may be read for \p prefix while the view of the parent
  /// is unconfirmed; if so, records the time. The limit applies to each prefix
  /// by itself: several parents in succession may be unconfirmed, and with a
  /// common limit one prefix would wait for all the others.
  auto mayReadStoreWhileUnconfirmed(const std::string &prefix) -> bool;

  PlatformClient &Store;
  const Clock &Time;
  ClientFactory MakeClient;
  OnParentFailed ParentFailed;
  MirroredPlatformOptions Options;
  StoreProbe Probe;
  /// By the prefix of the store.
  std::map<std::string, std::string> MirrorPrefixes;
  std::optional<Endpoint> Parent;
  /// The clients of all parents so far. None is destroyed, as a client drops
  /// its open calls when it is destroyed.
  std::map<Endpoint, std::unique_ptr<PlatformClient>> Clients;
  TimePoint ParentBackoffUntil;
  /// When the store was last read while the parent was unconfirmed, by prefix.
  std::map<std::string, TimePoint> LastUnconfirmedRead;
  /// The number of lists and watches open at the store. Shared with their
  /// callbacks, which may outlive the object.
  std::shared_ptr<std::size_t> OpenStoreReads = std::make_shared<std::size_t>();
  /// Watches opened at the store while there was no parent.
  std::map<std::uint64_t, Callback<ObjectList>> DirectWatches;
  std::uint64_t LastDirectWatch = 0;
  std::uint64_t StoreCalls = 0;
  std::uint64_t ParentCalls = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
