/// \file
/// How many new flows this instance may open to a cold upstream, so that all
/// instances together keep its limit with no message in the moment of need.
///
/// Of the instances that ever registered, the first few by rendezvous hash of
/// the upstream may open one flow each in MinInterval; all others none. An
/// instance that is cut off or has just restarted counts as well, and the set
/// only grows, so views that differ for a while differ by what was added: a
/// new instance waits until the others must have seen it.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_COLD_START_QUOTA_H
#define BORAGEBRIDGE_EDGE_COLD_START_QUOTA_H

#include "edge/upstream_directory.h"

namespace boragebridge {

struct ColdStartQuotaOptions {
  /// The limit of a cold upstream is its rate times Factor plus Slack, in new
  /// flows within any second.
  double Factor = 1;
  double Slack = 0;
  /// Over a second, since two flows may reach the upstream closer together
  /// than they were sent.
  Duration MinInterval = std::chrono::milliseconds(1300);
  /// An instance that has not seen for so long whether it is on record opens
  /// nothing: another may have its share by now.
  Duration MemberLease = std::chrono::minutes(10);
};

class ColdStartQuota {
public:
  /// \p self is this instance's name.
  ColdStartQuota(std::string_view self, ColdStartQuotaOptions opt);

  /// The limits of cold upstreams from now on.
  auto setOptions(const ColdStartQuotaOptions &opt) -> void { Options = opt; }
  /// All instances that ever registered.
  auto setMembers(const std::vector<std::string> &names) -> void;
  /// The members were known to be as told at \p t.
  auto confirmMembers(TimePoint t) -> void {
    ConfirmedAt = std::max(ConfirmedAt.value_or(t), t);
  }
  /// This instance opens nothing to cold upstreams before \p t.
  auto waitUntil(TimePoint t) -> void { NotBefore = t; }
  /// Whether this instance may open a flow to cold \p u, of a service whose
  /// cold upstreams bear \p perSecond.
  auto mayOpen(const UpstreamLifetime &u, double perSecond, TimePoint now) const
      -> bool;
  /// A flow was opened to cold \p u.
  auto onOpened(const UpstreamLifetime &u, TimePoint now) -> void;

private:
  auto isAmongFirst(const UpstreamLifetime &u, std::size_t n) const -> bool;

  ColdStartQuotaOptions Options;
  std::uint64_t Self;
  std::vector<std::uint64_t> Others;
  bool IsMember = false;
  /// Unset: nobody has told.
  std::optional<TimePoint> ConfirmedAt;
  TimePoint NotBefore;
  std::unordered_map<std::uint32_t, TimePoint> LastOpened;
};

} // namespace boragebridge

#endif
