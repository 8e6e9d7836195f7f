/// \file
/// Simpler methods of flow placement, run on the same packets as the product to
/// compare how many flows each method breaks.
#ifndef BORAGEBRIDGE_BENCH_FLOW_BASELINES_H
#define BORAGEBRIDGE_BENCH_FLOW_BASELINES_H

#include "boragebridge/blackboard.h"
#include "boragebridge/packet.h"
#include "flow/slot_table.h"

#include <unordered_map>
#include <unordered_set>

namespace boragebridge::bench {

enum class BaselineMethod {
  Modulo,          ///< Hash modulo the number of active upstreams.
  LocalTracking,   ///< Consistent slot table, plus the flows tracked by each
                   ///< instance.
  WithoutRelaying, ///< LocalTracking, plus the previous table for flows that
                   ///< the instance did not see open; no relaying to a home.
};

/// Simulates one method on all instances. Not thread-safe.
class BaselineRun {
public:
  explicit BaselineRun(BaselineMethod method) : Method(method) {}

  /// Handles a packet that reached instance \p name while \p cfg was its
  /// configuration.
  auto onPacket(const std::string &name, const Configuration &cfg,
                const FlowKey &k, PacketKind kind) -> void;
  /// Drops the state of instance \p name, whose process has ended.
  auto removeInstance(const std::string &name) -> void {
    Instances.erase(name);
  }
  auto brokenFlows() const -> std::size_t { return BrokenFlows.size(); }

private:
  struct InstanceState {
    Revision LastRevision{};
    std::vector<UpstreamId> Upstreams;
    std::vector<UpstreamPosition> Table;
    std::vector<UpstreamId> PreviousUpstreams;
    std::vector<UpstreamPosition> PreviousTable;
    std::unordered_map<std::uint64_t, UpstreamId> TrackedFlows;
  };

  static auto update(InstanceState &state, const Configuration &cfg) -> void;
  auto choose(InstanceState &state, std::uint64_t h, PacketKind kind)
      -> UpstreamId;

  BaselineMethod Method;
  std::unordered_map<std::string, InstanceState> Instances;
  std::unordered_map<std::uint64_t, UpstreamId> FlowUpstreams;
  std::unordered_set<std::uint64_t> BrokenFlows;
};

} // namespace boragebridge::bench

#endif
