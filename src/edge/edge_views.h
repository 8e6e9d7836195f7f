/// \file
/// Keeps a Directory and a ColdShare up to date from the platform's store: one
/// watch for each of upstreams, configuration and withdrawn data centres, and
/// the list of instances that ever registered.
///
/// A record that cannot be read names no upstream and harms no other; it is
/// logged. Free of sockets: runs on any PlatformClient. Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_EDGE_VIEWS_H
#define BORAGEBRIDGE_EDGE_EDGE_VIEWS_H

#include "edge/cold_share.h"
#include "edge/edge_adapter.h"
#include "store/object_watcher.h"

namespace boragebridge {

struct EdgeViewsOptions {
  /// This instance's name, under which it registers.
  std::string InstanceName;
  /// How long the store may hold a watch open. With the client's grace it
  /// stays below the shortest time in which a change must be in force.
  Duration WatchWait = std::chrono::milliseconds(2500);
  Duration Gather = std::chrono::milliseconds(200);
  /// Between two lists of the members.
  Duration MemberInterval = std::chrono::seconds(20);
  /// Between two attempts to register or to list, after a failure.
  Duration MemberRetry = std::chrono::seconds(2);
  /// No cold upstream gets a flow for so long after the start: an earlier
  /// process of this instance may just have used its share.
  Duration RestartWait = std::chrono::milliseconds(1300);
};

class EdgeViews {
public:
  /// All references outlive the object.
  EdgeViews(const WatcherContext &ctx, const RecordFormat &format,
            Directory &dir, ColdShare &cold, EdgeViewsOptions opt);
  EdgeViews(const EdgeViews &) = delete;
  auto operator=(const EdgeViews &) -> EdgeViews & = delete;
  ~EdgeViews() = default;

  /// Starts the calls that are due. Call every few tens of milliseconds.
  auto tick(TimePoint now) -> void;
  /// Whether all of upstreams, configuration and withdrawn data centres are
  /// known.
  auto isComplete() const -> bool;
  /// Age of the oldest of the three views.
  auto age(TimePoint now) const -> Duration;
  /// Calls to the store so far.
  auto calls() const -> std::uint64_t;

private:
  auto onUpstreamList(const ObjectList &l) -> void;
  auto onUpstreamEvents(const ObjectList &l) -> void;
  auto onConfiguration(const ObjectList &l) -> void;
  auto onWithdrawalList(const ObjectList &l) -> void;
  auto onWithdrawalEvents(const ObjectList &l) -> void;
  auto onFailure(const absl::Status &s) -> void;
  auto applyWithdrawals() -> void;
  auto logUpstream(const UpstreamRecord &r) -> void;
  auto decode(const StoredObject &o, UpstreamRecord &out) -> bool;
  auto tickMembers(TimePoint now) -> void;
  auto registerSelf() -> void;
  auto listMembers() -> void;

  WatcherContext Ctx;
  const RecordFormat &Format;
  Directory &Known;
  ColdShare &Cold;
  EdgeViewsOptions Options;
  std::set<std::string> Withdrawn;
  ObjectWatcher Upstreams;
  ObjectWatcher Configurations;
  ObjectWatcher Withdrawals;
  bool Registered = false;
  bool MemberCallOpen = false;
  TimePoint NextMemberCall;
  std::uint64_t MemberCalls = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
