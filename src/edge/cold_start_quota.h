/// \file
/// The number of new flows that this instance may open to a cold upstream. All
/// instances together respect the upstream's limit without exchanging messages
/// when a flow opens.
///
/// For each upstream, the registered instances are ranked by rendezvous hash.
/// With a limit of N flows per second, the first N of them may open one flow
/// each per MinInterval; the others open none. With a limit below one flow per
/// second, the first instance opens flows at longer intervals. Instances that
/// are cut off or have just restarted are counted as well. A member is removed
/// only long after it has stopped (member_expiry.h), so member lists that
/// differ for a while differ by the added members; a new instance therefore
/// waits until all others have read its record.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_COLD_START_QUOTA_H
#define BORAGEBRIDGE_EDGE_COLD_START_QUOTA_H

#include "edge/upstream_directory.h"

namespace boragebridge {

struct ColdStartQuotaOptions {
  /// The limit of a cold upstream, in new flows within any second, is its rate
  /// times Factor plus Slack.
  double Factor = 1;
  double Slack = 0;
  /// Longer than a second, because two flows may reach the upstream closer
  /// together than they were sent.
  Duration MinInterval = std::chrono::milliseconds(1300);
  /// An instance that has not confirmed the member list for this long opens
  /// nothing: its record may have been removed, and another instance may have
  /// its quota.
  Duration MemberLease = std::chrono::minutes(10);
};

class ColdStartQuota {
public:
  /// \p self is the name of this instance.
  ColdStartQuota(std::string_view self, ColdStartQuotaOptions opt);

  /// Replaces the limits of cold upstreams.
  auto setOptions(const ColdStartQuotaOptions &opt) -> void { Options = opt; }
  /// Replaces the list of registered instances.
  auto setMembers(const std::vector<std::string> &names) -> void;
  /// The member list was up to date at \p t.
  auto confirmMembers(TimePoint t) -> void {
    ConfirmedAt = std::max(ConfirmedAt.value_or(t), t);
  }
  /// This instance opens no flow to a cold upstream before \p t.
  auto waitUntil(TimePoint t) -> void { WaitingUntil = t; }
  /// Whether this instance may open a flow to the cold upstream \p u of a
  /// service whose cold upstreams can handle \p perSecond new flows per second.
  auto mayOpen(const UpstreamLifetime &u, double perSecond, TimePoint now) const
      -> bool;
  /// A flow was opened to the cold upstream \p u.
  auto onOpened(const UpstreamLifetime &u, TimePoint now) -> void;

private:
  auto isAmongFirst(const UpstreamLifetime &u, std::size_t n) const -> bool;

  ColdStartQuotaOptions Options;
  std::uint64_t Self;
  std::vector<std::uint64_t> Others;
  bool IsMember = false;
  /// Unset until the member list is first confirmed.
  std::optional<TimePoint> ConfirmedAt;
  TimePoint WaitingUntil;
  std::unordered_map<std::uint32_t, TimePoint> LastOpened;
};

} // namespace boragebridge

#endif
