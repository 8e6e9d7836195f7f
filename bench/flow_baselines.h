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

enum class Baseline {
  Modulo,          ///< The hash modulo the upstreams in service.
  LocalTracking,   ///< A consistent table, and what the instance itself saw.
  WithoutRelaying, ///< Known former upstreams, but no home to ask.
};

/// One way, over all instances.
class BaselineRun {
public:
  explicit BaselineRun(Baseline kind) : Kind(kind) {}

  /// A packet that instance \p name got while it held \p cfg.
  auto onPacket(const std::string &name, const Configuration &cfg,
                const FlowKey &k, PacketKind kind) -> void;
  /// Instance \p name has ended, and with it what it saw.
  auto forget(const std::string &name) -> void { Instances.erase(name); }
  auto brokenFlows() const -> std::size_t { return Broken.size(); }

private:
  struct InstanceState {
    Revision Seen{};
    std::vector<UpstreamId> Upstreams;
    std::vector<UpstreamIndex> Table;
    std::vector<UpstreamId> FormerUpstreams;
    std::vector<UpstreamIndex> FormerTable;
    std::unordered_map<std::uint64_t, UpstreamId> SeenFlows;
  };

  static auto update(InstanceState &it, const Configuration &cfg) -> void;
  auto choose(InstanceState &it, std::uint64_t h, PacketKind kind)
      -> UpstreamId;

  Baseline Kind;
  std::unordered_map<std::string, InstanceState> Instances;
  std::unordered_map<std::uint64_t, UpstreamId> Owners;
  std::unordered_set<std::uint64_t> Broken;
};

} // namespace boragebridge::bench

#endif
