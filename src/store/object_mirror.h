/// \file
/// A copy of parts of the store that one instance keeps and other instances
/// read, so that few instances call the store itself. Implements the lists and
/// watches of the object API (docs/API.md, "Platform object API").
///
/// A mirror serves a prefix only while its view of that prefix is confirmed.
/// Otherwise it answers FailedPrecondition, and its readers call the store
/// themselves. This bounds how far the view of a reader can lag behind.
///
/// A mirror keeps the last change of each object, not those before it: a reader
/// that is behind gets the present objects that it does not know and the
/// removals. So no value is kept twice, however often an object changes.
///
/// Does no I/O. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_OBJECT_MIRROR_H
#define BORAGEBRIDGE_STORE_OBJECT_MIRROR_H

#include "boragebridge/platform_client.h"

#include <list>
#include <map>

namespace boragebridge {

struct ObjectMirrorOptions {
  /// Memory for the removals that are kept for each prefix, in bytes. A reader
  /// whose version is older than a removal that was forgotten must read the
  /// list.
  std::size_t RemovalBytes = std::size_t{256} << 10;
  /// Watches that may be open at once. A further one is refused with
  /// ResourceExhausted.
  std::size_t MaxWatches = 256;
};

/// What a mirror keeps in memory.
struct MirrorUsage {
  std::size_t Objects = 0;
  /// Size of the keys and values of the objects, in bytes.
  std::size_t ObjectBytes = 0;
  /// Removals kept for readers with an older version.
  std::size_t Removals = 0;
  /// Memory for the kept removals, in bytes.
  std::size_t RemovalBytes = 0;
};

/// The mirror of a set of prefixes.
class ObjectMirror {
public:
  using Done = PlatformClient::Callback<ObjectList>;

  explicit ObjectMirror(ObjectMirrorOptions opt = {}) : Options(opt) {}
  ObjectMirror(const ObjectMirror &) = delete;
  auto operator=(const ObjectMirror &) -> ObjectMirror & = delete;

  /// Replaces the view of \p prefix by \p all, and confirms it. Returns what
  /// has changed. Objects that have not changed keep their place in the
  /// history, so a reader of the earlier view gets only the changes; it must
  /// read the list only if \p all is of another era or older than the view, or
  /// if the digest shows that its objects differ.
  auto replace(const std::string &prefix, const ObjectList &all)
      -> std::vector<ObjectEvent>;
  /// Applies the events that a watch of \p prefix returned.
  auto apply(const std::string &prefix, const ObjectList &events) -> void;
  /// Records that nothing below \p prefix changed up to \p version.
  auto advance(const std::string &prefix, ObjectVersion version) -> void;
  /// Sets whether the view of \p prefix is confirmed. When it no longer is, its
  /// open watches end with FailedPrecondition.
  auto setConfirmed(const std::string &prefix, bool confirmed) -> void;

  /// Whether list() with the same arguments succeeds.
  auto mayList(const std::string &prefix, bool allowUnconfirmed) const
      -> absl::Status;
  /// Returns all objects below \p prefix, or FailedPrecondition when the view
  /// is not confirmed. \p allowUnconfirmed is for a reader that has just
  /// started and cannot reach the store: an outdated view is better for it than
  /// none.
  auto list(const std::string &prefix, bool allowUnconfirmed = false) const
      -> absl::StatusOr<ObjectList>;
  /// The digest of the objects below \p prefix.
  auto digest(const std::string &prefix) const -> ViewDigest;
  /// A number that changes with the objects below \p prefix, but not when only
  /// the version of the view advances.
  auto changeCount(const std::string &prefix) const -> std::uint64_t;
  /// Returns the last change of each object that has changed after version
  /// \p after, in the order of the changes, without waiting for new ones.
  /// Errors are those of watch(). The result has a digest unless \p after
  /// is newer than the view.
  auto changes(const std::string &prefix, ObjectVersion after) const
      -> absl::StatusOr<ObjectList>;
  /// Calls \p done with the changes after version \p after: at once, or when
  /// the first one arrives, or with an empty list at \p until. Errors:
  /// OutOfRange when the history no longer contains all of them,
  /// FailedPrecondition when the view is not confirmed, ResourceExhausted when
  /// too many watches are open.
  auto watch(const std::string &prefix, ObjectVersion after, TimePoint until,
             Done done) -> void;
  /// Ends watches whose deadline has passed.
  auto tick(TimePoint now) -> void;
  auto openWatches() const -> std::size_t;
  /// Takes time linear in the number of objects.
  auto usage() const -> MirrorUsage;

private:
  /// The last change of one object. The value is empty if it was a removal.
  struct Change {
    ObjectEvent Event;
    /// A reader whose version is at least this one has seen the change.
    ObjectVersion SeenFrom = 0;
  };
  struct Watch {
    ObjectVersion After = 0;
    TimePoint Until;
    Done Respond;
  };
  /// The view of one prefix and its open watches.
  struct View {
    /// The last change of each object, the latest at the end.
    std::list<Change> Changes;
    /// The elements of Changes by key.
    std::map<std::string, std::list<Change>::iterator> ByKey;
    ObjectVersion Version = 0;
    /// Changes contains all removals after this version.
    ObjectVersion HistoryStart = 0;
    std::size_t Removals = 0;
    std::size_t RemovalBytes = 0;
    ViewDigest Digest = 0;
    /// Number of calls that have changed the objects.
    std::uint64_t Updates = 0;
    bool Confirmed = false;
    std::vector<Watch> Watches;
  };

  /// Forgets all objects of \p view and its history.
  static auto clear(View &view) -> void;
  /// What has to change in \p view so that it has the objects of \p all.
  static auto changesTo(const View &view, const ObjectList &all)
      -> std::vector<ObjectEvent>;
  /// Records \p e as the last change of its object.
  static auto record(View &view, const ObjectEvent &e) -> void;
  /// Forgets the oldest removals that do not fit into \p maxBytes.
  static auto forgetRemovals(View &view, std::size_t maxBytes) -> void;
  /// Memory for the removal of the object \p key.
  static auto removalBytes(const std::string &key) -> std::size_t;
  /// Returns the changes after \p after, in their order, or OutOfRange.
  static auto eventsAfter(const View &view, ObjectVersion after)
      -> absl::StatusOr<ObjectList>;
  /// Answers the open watches of \p view for which there are events.
  static auto answerWatches(View &view) -> void;
  /// Answers all open watches of \p view.
  static auto answerAllWatches(View &view) -> void;
  static auto failWatches(View &view, const absl::Status &why) -> void;

  ObjectMirrorOptions Options;
  std::map<std::string, View> Views;
};

} // namespace boragebridge

#endif
