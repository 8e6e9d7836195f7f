/// \file
/// What this instance believes of the configuration, the upstreams and the
/// withdrawn data centres, and what follows for new and for open flows.
///
/// The configuration never goes back. An upstream that is gone stays known for
/// as long as flows to it may last, so that its tag is not taken for another.
///
/// Example:
/// \code
///   directory.replaceUpstreams(records, now);
///   if (const auto *it = directory.find(packet.Tag))
///     if (directory.isGone(*it, now))
///       ...
/// \endcode
///
/// Free of I/O. Not thread-safe. Pointers to upstreams and routes stay valid
/// until the next call that is not const.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_DIRECTORY_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_DIRECTORY_H

#include "edge/records.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace boragebridge {

/// Index of an upstream's lifetime in this process; below MaxUpstreams. An
/// index is used again once its upstream is forgotten.
using UpstreamIndex = std::uint32_t;

/// One lifetime of an upstream and what this instance knows of it.
struct UpstreamLifetime {
  UpstreamRecord Record;
  UpstreamIndex Index = 0;
  UpstreamTag Tag = UpstreamTag::None;
  /// Takes few new flows until then.
  TimePoint ColdUntil;
  /// When its record was seen to be missing from the store.
  std::optional<TimePoint> MissingSince = {};
  /// Another lifetime has its name or its address: this one has ended.
  bool Ended = false;
};

/// Bounds of what a directory believes without the store's word.
struct UpstreamDirectoryOptions {
  /// A record that is missing for longer stands for an upstream that is gone.
  /// Records that lapse while the store is away are back by then.
  Duration MissingLimit = std::chrono::milliseconds(2500);
  /// How long an upstream that is gone is remembered.
  Duration RetentionTime = std::chrono::seconds(75);
  /// After a data centre returns, its upstreams count as cold for this long:
  /// their own word of it may arrive later than the return.
  Duration ColdTimeAfterReturn = std::chrono::seconds(3);
  /// Most upstreams, gone ones included; further ones are refused.
  std::size_t MaxUpstreams = 300'000;
};

class UpstreamDirectory {
public:
  explicit UpstreamDirectory(UpstreamDirectoryOptions opt = {})
      : Options(opt) {}
  UpstreamDirectory(const UpstreamDirectory &) = delete;
  auto operator=(const UpstreamDirectory &) -> UpstreamDirectory & = delete;

  /// Takes \p all for the whole set of registered upstreams.
  auto replaceUpstreams(const std::vector<UpstreamRecord> &all, TimePoint now)
      -> void;
  /// Adds or changes one upstream.
  auto putUpstream(const UpstreamRecord &r, TimePoint now) -> void;
  /// The record called \p name is missing from the store.
  auto removeUpstream(const std::string &name, TimePoint now) -> void;
  /// False, and nothing changes, when \p c is older than what is known.
  auto setConfiguration(EdgeConfiguration c) -> bool;
  /// Replaces the set of data centres that take no new flows.
  auto setWithdrawn(std::set<DataCentreId> all, TimePoint now) -> void;
  /// The store failed or was not reached: records that go missing are not
  /// trusted to be gone before MissingLimit after \p now.
  auto onStoreFailure(TimePoint now) -> void { StoreFailedAt = now; }
  /// Forgets what is no longer needed. Call about once a second.
  auto expire(TimePoint now) -> void;

  /// Whether upstreams and configuration are known.
  auto isComplete() const -> bool {
    return UpstreamsKnownSince.has_value() && Config.Version != 0;
  }
  /// Whether the upstreams have been known for longer than MissingLimit, so
  /// that a tag of no upstream names one that is gone.
  auto isStable(TimePoint now) const -> bool;
  auto configuration() const -> const EdgeConfiguration & { return Config; }
  /// The route at \p address, or null.
  auto route(const Endpoint &address) const -> const RouteRecord *;
  /// The upstream that \p tag names, gone ones included, or null.
  auto find(UpstreamTag tag) const -> const UpstreamLifetime *;
  /// The upstreams of \p service that are registered or not yet gone.
  auto upstreamsOf(ServiceId service) const
      -> const std::vector<const UpstreamLifetime *> &;
  auto coldPerSecond(ServiceId service) const -> double;

  /// Whether no flow to \p u can be alive.
  auto isGone(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether new flows may go to \p u.
  auto mayOpen(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether new flows may go to \p u when its service has nothing better: its
  /// record is missing, but not for long.
  auto mayOpenAsLastResort(const UpstreamLifetime &u, TimePoint now) const
      -> bool;
  auto isCold(const UpstreamLifetime &u, TimePoint now) const -> bool {
    return now < u.ColdUntil;
  }
  auto isWithdrawn(DataCentreId d) const -> bool {
    return Withdrawn.contains(d);
  }
  /// Registered upstreams, for metrics.
  auto size() const -> std::size_t { return ByName.size(); }

private:
  struct Slot {
    UpstreamLifetime Value;
    bool Used = false;
  };

  auto apply(const UpstreamRecord &r, TimePoint now) -> void;
  auto add(const UpstreamRecord &r, TimePoint now) -> void;
  /// The lifetime that \p r is a record of, ended ones included, or null.
  auto findLifetime(const UpstreamRecord &r) -> UpstreamLifetime *;
  auto allocate() -> Slot *;
  auto update(UpstreamLifetime &u, const UpstreamRecord &r, TimePoint now)
      -> void;
  /// Ends the lifetime that had \p address before \p owner.
  auto claimAddress(const Endpoint &address, UpstreamIndex owner) -> void;
  auto endLifetime(UpstreamIndex i) -> void;
  /// Makes ByService again when a lifetime came, ended or changed its service.
  auto rebuild() -> void;
  auto claimTag(const UpstreamLifetime &u) -> void;

  UpstreamDirectoryOptions Options;
  /// A deque, so that upstreams do not move.
  std::deque<Slot> Slots;
  std::vector<UpstreamIndex> Free;
  std::unordered_map<std::string, UpstreamIndex> ByName;
  std::unordered_map<Endpoint, UpstreamIndex> ByAddress;
  std::unordered_map<std::uint32_t, UpstreamIndex> ByTag;
  std::unordered_map<std::uint64_t, std::vector<const UpstreamLifetime *>>
      ByService;
  bool ByServiceIsStale = false;
  std::unordered_map<Endpoint, std::size_t> Routes;
  std::unordered_map<std::uint64_t, double> ColdRates;
  EdgeConfiguration Config;
  std::set<DataCentreId> Withdrawn;
  std::optional<TimePoint> UpstreamsKnownSince;
  TimePoint StoreFailedAt;
};

} // namespace boragebridge

#endif
