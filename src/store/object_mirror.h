/// \file
/// A copy of parts of the store that one instance keeps and others read, so
/// that the store is called by few. Speaks the product's own object API
/// (docs/API.md, "Platform object API"), lists and watches only.
///
/// A mirror serves a prefix only while its own view of it is confirmed; else
/// it answers FailedPrecondition, and its readers go to the store themselves.
/// So no reader is ever more behind than the mirror's own limit allows.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_STORE_OBJECT_MIRROR_H
#define BORAGEBRIDGE_STORE_OBJECT_MIRROR_H

#include "boragebridge/platform_client.h"

#include <deque>
#include <map>

namespace boragebridge {

struct ObjectMirrorOptions {
  /// Events kept of each prefix for readers that are behind.
  std::size_t HistoryEvents = 4096;
  /// Watches that may wait at once; a further one is refused.
  std::size_t MaxWatches = 256;
};

class ObjectMirror {
public:
  using Done = PlatformClient::Callback<ObjectList>;

  explicit ObjectMirror(ObjectMirrorOptions opt = {}) : Options(opt) {}
  ObjectMirror(const ObjectMirror &) = delete;
  auto operator=(const ObjectMirror &) -> ObjectMirror & = delete;

  /// Takes \p all for everything below \p prefix.
  auto replace(const std::string &prefix, const ObjectList &all) -> void;
  /// Applies what a watch of \p prefix returned.
  auto apply(const std::string &prefix, const ObjectList &events) -> void;
  /// Nothing below \p prefix changed up to \p version.
  auto advance(const std::string &prefix, ObjectVersion version) -> void;
  /// Whether the view of \p prefix is confirmed. Watches that wait end when it
  /// no longer is.
  auto setConfirmed(const std::string &prefix, bool confirmed) -> void;

  /// Everything below \p prefix, or FailedPrecondition. \p allowUnconfirmed is
  /// for a reader that has just started and reaches no store: an old view is
  /// better than none.
  auto list(const std::string &prefix, bool allowUnconfirmed = false) const
      -> absl::StatusOr<ObjectList>;
  /// Calls \p done, at once or later, with the events after \p after, with
  /// none when there are none until \p until, with OutOfRange when they are
  /// not all kept, or with FailedPrecondition or ResourceExhausted.
  auto watch(const std::string &prefix, ObjectVersion after, TimePoint until,
             Done done) -> void;
  /// Ends watches whose time is over.
  auto tick(TimePoint now) -> void;
  auto openWatches() const -> std::size_t;

private:
  /// What one call of the store returned.
  struct Batch {
    ObjectVersion Version = 0;
    std::vector<ObjectEvent> Events;
  };
  struct Watch {
    ObjectVersion After = 0;
    TimePoint Until;
    Done Respond;
  };
  struct Prefix {
    std::map<std::string, StoredObject> Objects;
    ObjectVersion Version = 0;
    /// All events after this version are in History.
    ObjectVersion HistoryStart = 0;
    std::deque<Batch> History;
    std::size_t HistoryEvents = 0;
    bool Confirmed = false;
    std::vector<Watch> Watches;
  };

  static auto eventsAfter(const Prefix &p, ObjectVersion after)
      -> absl::StatusOr<ObjectList>;
  /// Answers the watches of \p p that are behind.
  static auto answerWatches(Prefix &p) -> void;
  static auto failWatches(Prefix &p, const absl::Status &why) -> void;

  ObjectMirrorOptions Options;
  std::map<std::string, Prefix> Prefixes;
};

} // namespace boragebridge

#endif
