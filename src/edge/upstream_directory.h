/// \file
/// This instance's copy of the configuration, the registered upstreams and the
/// withdrawn data centres, and the rules that follow from it for new and for
/// open flows.
///
/// The configuration is never replaced by an older version. An upstream that is
/// gone is retained for as long as flows to it may last, so that its tag does
/// not name another upstream.
///
/// Of several lifetimes with one name, the one whose record was written last
/// holds it: a lifetime that reports again, with a higher sequence, has not
/// ended, whoever wrote the record in between. A record without a start says
/// nothing about an upstream that tells its start.
///
/// Of several lifetimes with one address, the one that started last holds it
/// until it is gone, in whatever order their records arrive; the others take no
/// new flows meanwhile. A record without a start counts as the earliest.
///
/// A record whose service is not configured is that of no upstream: it holds no
/// name, address, tag or index. It is kept, so that a configuration that adds
/// the service finds its upstreams at once. Until the first configuration, no
/// service is configured.
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

#include "edge/upstream_tag_index.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace boragebridge {

/// One lifetime of an upstream, from its start to its end, and its state in the
/// directory.
struct UpstreamLifetime {
  UpstreamRecord Record;
  UpstreamIndex Index = 0;
  UpstreamTag Tag = UpstreamTag::None;
  /// The upstream is cold, and takes few new flows, until this time.
  TimePoint ColdUntil;
  /// When its record was found to be missing from the store.
  std::optional<TimePoint> MissingSince = {};
  /// The record disappeared shortly after a failure of the store, so it has
  /// most likely expired while the upstream is still running.
  bool MayHaveExpired = false;
  /// Another lifetime has taken its name, so this one has ended, unless it
  /// reports again.
  bool Ended = false;
  /// The record that ended this lifetime names another address or service. It
  /// may be another writer's, so flows may still be open.
  bool Displaced = false;
  /// A lifetime that started later holds its address.
  bool Superseded = false;
};

/// Why an upstream is gone, by the records.
enum class GoneReason : std::uint8_t {
  /// It is not gone.
  None,
  /// A later lifetime has its name.
  Restarted,
  /// A lifetime that started later holds its address.
  AddressTaken,
  /// Its record is missing for longer than the limit.
  Missing,
};

auto toString(GoneReason r) -> std::string_view;

/// Limits of an UpstreamDirectory.
struct UpstreamDirectoryOptions {
  /// An upstream whose record is missing for longer gets no new flows. Records
  /// that expire during a store outage are registered again within this time.
  Duration MissingLimit = std::chrono::milliseconds(2500);
  /// After this time a restored store has removed the records of upstreams that
  /// do not report any more.
  Duration CopyExpiryTime = std::chrono::milliseconds(4500);
  /// How long an upstream that is gone is retained.
  Duration RetentionTime = std::chrono::seconds(75);
  /// After a data centre returns, its upstreams count as cold for this long:
  /// their own cold state may be reported later than the return.
  Duration ColdTimeAfterReturn = std::chrono::seconds(3);
  /// Maximum number of upstreams, including those that are gone; further ones
  /// are rejected.
  std::size_t MaxUpstreams = 300'000;
  /// Maximum number of removed routes that are remembered.
  std::size_t MaxRemovedRoutes = 4096;
};

class UpstreamDirectory {
public:
  explicit UpstreamDirectory(UpstreamDirectoryOptions opt = {})
      : Options(opt) {}
  UpstreamDirectory(const UpstreamDirectory &) = delete;
  auto operator=(const UpstreamDirectory &) -> UpstreamDirectory & = delete;

  /// Replaces the set of registered upstreams by \p all.
  auto replaceUpstreams(const std::vector<UpstreamRecord> &all, TimePoint now)
      -> void;
  /// Like replaceUpstreams(), for the first list of a store that was restored
  /// from an earlier copy. Counts as a failure of the store. Records that are
  /// older than those known are set aside, and taken when the store still has
  /// them after CopyExpiryTime.
  auto replaceByRestored(const std::vector<UpstreamRecord> &all, TimePoint now)
      -> void;
  /// Adds or updates one upstream.
  auto putUpstream(const UpstreamRecord &r, TimePoint now) -> void;
  /// Marks the record \p name as missing from the store.
  auto removeUpstream(const std::string &name, TimePoint now) -> void;
  /// Adds an upstream that the store has no record of and that another instance
  /// knows, unless it is known here. Flows to it may be open. Its record counts
  /// as missing for too long from the start, see mayOpen().
  auto addUnregistered(const UpstreamRecord &r, TimePoint now) -> void;
  /// Puts \p c into force, and adds the upstreams of services that it
  /// configures and whose records were kept. Returns false, and changes
  /// nothing, if \p c is older than the current version.
  auto setConfiguration(EdgeConfiguration c, TimePoint now) -> bool;
  /// Replaces the set of data centres that take no new flows.
  auto setWithdrawn(std::set<DataCentreId> all, TimePoint now) -> void;
  /// The store failed or could not be reached: an upstream whose record may
  /// have expired is not considered gone before MissingLimit after \p now,
  /// unless it was before.
  auto onStoreFailure(TimePoint now) -> void;
  /// Removes upstreams that are no longer needed. Call about once per second.
  auto expire(TimePoint now) -> void;

  /// Whether both the upstreams and the configuration have been received.
  auto isComplete() const -> bool {
    return UpstreamsReceivedAt.has_value() && Config.Version != 0;
  }
  /// Whether the upstreams were received, and the store last failed, more than
  /// MissingLimit ago. Only then does a tag that matches no upstream belong to
  /// one that is gone.
  auto isStable(TimePoint now) const -> bool;
  auto configuration() const -> const EdgeConfiguration & { return Config; }
  /// The route at \p address, or null.
  auto route(const Endpoint &address) const -> const RouteRecord *;
  /// Whether a configuration has removed the route at \p address. An address
  /// without a route may otherwise be one that other instances know already.
  auto isRemovedRoute(const Endpoint &address) const -> bool {
    return RemovedRoutes.contains(address);
  }
  /// The upstream that \p tag names, including those that are gone, or null.
  auto find(UpstreamTag tag) const -> const UpstreamLifetime *;
  /// The latest lifetime of the upstream that \p tag names by its name part,
  /// whatever lifetime the tag is of. Null if there is none, or if several
  /// upstreams share the name part.
  auto findByName(UpstreamTag tag) const -> const UpstreamLifetime *;
  /// The latest lifetime of the upstream of which \p u is an earlier one, if it
  /// is not gone and its address and service are the same; else null. Flows
  /// that carry the tag of \p u may be open there: an instance that has not
  /// read of the restart opens them with the earlier tag.
  auto successor(const UpstreamLifetime &u, TimePoint now) const
      -> const UpstreamLifetime *;
  /// The upstreams of \p service that are registered or not yet gone.
  auto upstreamsOf(ServiceId service) const
      -> const std::vector<const UpstreamLifetime *> &;
  /// Changes whenever the result of upstreamsOf() changes.
  auto serviceRevision() const -> std::uint64_t { return ServiceRevision; }
  auto coldPerSecond(ServiceId service) const -> double;

  /// Whether, by the records, \p u is gone. It gets no new flows.
  auto isGone(const UpstreamLifetime &u, TimePoint now) const -> bool {
    return goneReason(u, now) != GoneReason::None;
  }
  auto goneReason(const UpstreamLifetime &u, TimePoint now) const -> GoneReason;
  /// Whether flows to \p u may be open. They may be although \p u isGone(): its
  /// record may be missing although it is running, as when the store was
  /// restored, or another lifetime may have claimed its address, or its name
  /// for another address. It counts as ended if its record is missing and its
  /// address is claimed, or if another lifetime has its name and address.
  /// Forwarding to
  /// an address that was reused is safe, because an upstream ignores packets
  /// that carry another identity.
  auto mayBeRunning(const UpstreamLifetime &u, TimePoint now) const -> bool {
    const auto isReplaced = u.Ended && !u.Displaced;
    return !isReplaced && !(u.Superseded && isMissingTooLong(u, now));
  }
  /// Whether new flows may go to \p u.
  auto mayOpen(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether new flows may go to \p u if its service has no better upstream:
  /// its record may be missing, but not for longer than MissingLimit.
  auto mayOpenAsLastResort(const UpstreamLifetime &u, TimePoint now) const
      -> bool;
  auto isCold(const UpstreamLifetime &u, TimePoint now) const -> bool {
    return now < u.ColdUntil;
  }
  auto isWithdrawn(DataCentreId d) const -> bool {
    return Withdrawn.contains(d);
  }
  /// Number of registered upstreams, for metrics.
  auto size() const -> std::size_t { return ByName.size(); }
  /// Whether the configuration lists \p service or sends flows to it.
  auto isConfigured(ServiceId service) const -> bool {
    return ConfiguredServices.contains(raw(service));
  }
  /// Number of records of services that are not configured.
  auto unconfiguredRecords() const -> std::size_t {
    return Unconfigured.size();
  }

private:
  struct Entry {
    UpstreamLifetime Lifetime;
    bool Used = false;
  };

  /// A record of a service that is not configured, and when it was read.
  struct UnconfiguredRecord {
    UpstreamRecord Record;
    TimePoint ReadAt;
  };

  auto apply(const UpstreamRecord &r, TimePoint now) -> void;
  /// Keeps \p r, whose service is not configured. An upstream of its name
  /// counts as one whose record is missing.
  auto keepUnconfigured(const UpstreamRecord &r, TimePoint now) -> void;
  /// Adds the upstreams of services that are configured now, and settles the
  /// addresses of those whose services no longer are.
  auto onServicesConfigured(TimePoint now) -> void;
  auto add(const UpstreamRecord &r, TimePoint now) -> void;
  /// The lifetime that \p r describes, including ended ones, or null.
  auto findLifetime(const UpstreamRecord &r) -> UpstreamLifetime *;
  auto allocate() -> Entry *;
  /// Adds the lifetime that \p r describes. Returns null at the limit.
  auto insert(const UpstreamRecord &r, TimePoint now) -> UpstreamLifetime *;
  auto update(UpstreamLifetime &u, const UpstreamRecord &r, TimePoint now)
      -> void;
  /// Determines which lifetime holds \p address. Only one of a configured
  /// service can.
  auto settleAddress(const Endpoint &address, TimePoint now) -> void;
  /// The same for all addresses of several lifetimes.
  auto settleSharedAddresses(TimePoint now) -> void;
  /// Adds \p u to the lifetimes of its address, or removes it from them.
  auto addToAddress(const UpstreamLifetime &u, TimePoint now) -> void;
  auto removeFromAddress(const UpstreamLifetime &u, TimePoint now) -> void;
  /// The lifetime at \p i has ended, as \p next has its name.
  auto endLifetime(UpstreamIndex i, const UpstreamRecord &next, TimePoint now)
      -> void;
  /// The ended lifetime \p u reports again by \p r.
  auto resume(UpstreamLifetime &u, const UpstreamRecord &r, TimePoint now)
      -> void;
  /// Whether \p r has no start although the upstream of its name tells one.
  auto lacksStart(const UpstreamRecord &r) const -> bool;
  /// Replaces the registered upstreams by those of \p all that are not set
  /// aside.
  auto replaceAll(const std::vector<UpstreamRecord> &all, TimePoint now)
      -> void;
  /// Whether a later record of the upstream is known than \p r, which a
  /// restored store has from its copy.
  auto isFromCopy(const UpstreamRecord &r, TimePoint now) const -> bool;
  /// Takes the records that were set aside, when that is due.
  auto takeSetAside(TimePoint now) -> void;
  /// The record of \p u is missing from \p now on.
  auto markMissing(UpstreamLifetime &u, TimePoint now) const -> void;
  /// Whether the record of \p u is missing for longer than MissingLimit.
  auto isMissingTooLong(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Rebuilds ByService after a lifetime was added, ended, superseded or moved
  /// to another service.
  auto rebuild() -> void;
  /// Builds Routes from the configuration.
  auto indexRoutes() -> void;
  /// Remembers that the route at \p address was removed, and forgets the oldest
  /// removals over the limit.
  auto rememberRemoval(const Endpoint &address) -> void;

  UpstreamDirectoryOptions Options;
  /// A deque, because pointers to its upstreams must stay valid when it grows.
  std::deque<Entry> Entries;
  std::vector<UpstreamIndex> FreeIndexes;
  /// The lifetimes whose records are present.
  std::unordered_map<std::string, UpstreamIndex> ByName;
  /// The latest lifetime of each name, including those that are missing.
  std::unordered_map<std::string, UpstreamIndex> Latest;
  /// All lifetimes of an address, including those that are gone.
  std::unordered_map<Endpoint, std::vector<UpstreamIndex>> ByAddress;
  UpstreamTagIndex Tags;
  std::unordered_map<std::uint64_t, std::vector<const UpstreamLifetime *>>
      ByService;
  bool ByServiceIsStale = false;
  std::uint64_t ServiceRevision = 0;
  std::unordered_map<Endpoint, std::size_t> Routes;
  std::unordered_set<Endpoint> RemovedRoutes;
  /// Addresses of removed routes, the oldest removal first. Some may have been
  /// added again since.
  std::deque<Endpoint> RemovalOrder;
  std::unordered_map<std::uint64_t, double> ColdRates;
  EdgeConfiguration Config;
  /// See isConfigured().
  std::unordered_set<std::uint64_t> ConfiguredServices;
  /// Records of other services, by the name of the upstream.
  std::unordered_map<std::string, UnconfiguredRecord> Unconfigured;
  std::set<DataCentreId> Withdrawn;
  std::optional<TimePoint> UpstreamsReceivedAt;
  TimePoint StoreFailedAt;
  /// Records from the copy that the store was restored from, by name.
  std::unordered_map<std::string, UpstreamRecord> SetAside;
  TimePoint SetAsideUntil;
};

} // namespace boragebridge

#endif
