/// \file
/// Other ways to place flows, run on the same packets as the product, to
/// compare how many flows each breaks.
#ifndef BORAGEBRIDGE_BENCH_FLOW_BASELINES_H
#define BORAGEBRIDGE_BENCH_FLOW_BASELINES_H

#include "boragebridge/blackboard.h"
#include "boragebridge/packet.h"
#include "flow/slot_table.h"

#include <unordered_map>
#include <unordered_set>

namespace boragebridge::bench {

enum class BaselineMethod {
  Modulo,          ///< The hash modulo the upstreams in service.
  LocalTracking,   ///< A consistent table, and what the instance itself saw.
  WithoutRelaying, ///< Known former upstreams, but no home to ask.
};

/// One way, over all instances.
class BaselineRun {
public:
  explicit BaselineRun(BaselineMethod method) : Method(method) {}

  /// A packet that instance \p name got while it held \p cfg.
  auto onPacket(const std::string &name, const Configuration &cfg,
                const FlowKey &k, PacketKind kind) -> void;
  /// Instance \p name has ended, and with it what it saw.
  auto removeInstance(const std::string &name) -> void {
    Instances.erase(name);
  }
  auto brokenFlows() const -> std::size_t { return BrokenFlows.size(); }

private:
  struct InstanceState {
    Revision LastRevision{};
    std::vector<UpstreamId> Upstreams;
    std::vector<UpstreamIndex> Table;
    std::vector<UpstreamId> PreviousUpstreams;
    std::vector<UpstreamIndex> PreviousTable;
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
