/// \file
/// Asks other instances for upstreams whose records the store lacks.
///
/// An upstream may serve although its record is missing. Instances that knew
/// the record still forward the upstream's flows; an instance that has started
/// since knows only the flows' tags. Before it takes such a tag for that of an
/// upstream that has ended, it asks some others for the record.
///
/// Example:
/// \code
///   UpstreamLookup lookup(time, log, directory, listPeers, askPeer);
///   if (decision.Reason == EdgeReason::UnknownTag)
///     lookup.onUnknownTag(packet.Tag, now);
/// \endcode
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_LOOKUP_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_LOOKUP_H

#include "boragebridge/clock.h"
#include "boragebridge/event_log.h"
#include "edge/upstream_directory.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace boragebridge {

/// The target of the HTTP call that asks an instance for the upstream of
/// \p tag.
auto lookupTarget(UpstreamTag tag) -> std::string;
/// The tag in a result of lookupTarget(); None if \p target has another form.
auto parseLookupTarget(std::string_view target) -> UpstreamTag;

struct UpstreamLookupOptions {
  /// Instances that are asked for one tag, one after the other.
  std::size_t MaxPeers = 4;
  /// A tag that nobody knew is looked up again after this time.
  Duration RetryInterval = std::chrono::seconds(1);
  /// Tags that are looked up within RetryInterval; further ones are ignored.
  std::size_t MaxTags = 64;
};

class UpstreamLookup {
public:
  using Answer = std::function<void(const absl::StatusOr<UpstreamRecord> &)>;
  /// Returns the mirrors of the other instances, those to ask first in front.
  using ListPeers = std::function<std::vector<Endpoint>()>;
  /// Asks the instance whose mirror has an address for the upstream of a tag.
  /// Calls the answer at most once, and not from within the call.
  using AskPeer =
      std::function<void(const Endpoint &, UpstreamTag, const Answer &)>;

  /// All references must outlive the object.
  UpstreamLookup(const Clock &time, EventLog &log, UpstreamDirectory &directory,
                 ListPeers listPeers, AskPeer askPeer,
                 UpstreamLookupOptions opt = {})
      : Time(time), Log(log), Directory(directory), List(std::move(listPeers)),
        Ask(std::move(askPeer)), Options(opt) {}
  UpstreamLookup(const UpstreamLookup &) = delete;
  auto operator=(const UpstreamLookup &) -> UpstreamLookup & = delete;
  ~UpstreamLookup() = default;

  /// A packet carries \p tag, which names no upstream of the directory. An
  /// upstream that another instance knows by it is added to the directory.
  auto onUnknownTag(UpstreamTag tag, TimePoint now) -> void;

private:
  struct Lookup {
    UpstreamTag Tag = UpstreamTag::None;
    TimePoint StartedAt;
  };

  /// Asks \p peers in turn, from the one at \p n on.
  auto askFrom(UpstreamTag tag,
               const std::shared_ptr<const std::vector<Endpoint>> &peers,
               std::size_t n) -> void;
  /// Adds \p r to the directory. Returns false if it is not what \p tag names.
  auto onRecord(UpstreamTag tag, const Endpoint &from, const UpstreamRecord &r)
      -> bool;

  const Clock &Time;
  EventLog &Log;
  UpstreamDirectory &Directory;
  ListPeers List;
  AskPeer Ask;
  UpstreamLookupOptions Options;
  /// The latest lookups, the oldest one in front.
  std::deque<Lookup> Lookups;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
