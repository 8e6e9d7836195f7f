/// \file
/// Callers with long flows. Each flow sends numbered packets and expects every
/// answer to come from one and the same upstream.
#ifndef BORAGEBRIDGE_BENCH_LOAD_FLOWS_H
#define BORAGEBRIDGE_BENCH_LOAD_FLOWS_H

#include "load_measures.h"

#include "boragebridge/clock.h"
#include "boragebridge/packet.h"
#include "boragebridge/random.h"

#include <set>
#include <unordered_map>

namespace boragebridge::bench {

/// A service as callers reach it.
struct LoadService {
  std::string Name;
  Endpoint Address;
  ServiceId Id{};
};

/// How many flows, and where they go.
struct FlowLoadOptions {
  std::size_t Flows = 400;
  /// New flows a second at most.
  double OpensPerSecond = 40;
  /// Time between two packets of a flow.
  Duration Interval = std::chrono::milliseconds(250);
  /// A flow that hears nothing for this long is broken.
  Duration ResponseTimeout = std::chrono::seconds(5);
  /// Share of the open flows that end by themselves after about
  /// ShortFlowLifetime.
  double ShortFlowShare = 0.3;
  Duration ShortFlowLifetime = std::chrono::seconds(8);
  std::vector<LoadService> Services;
  /// The fabric's address in each data centre.
  std::vector<Endpoint> Fabrics;
};

/// The flows. Not thread-safe.
class FlowLoad {
public:
  using SendFunction =
      std::function<void(const Endpoint &fabric, const Packet &p)>;

  FlowLoad(FlowLoadOptions opt, const Clock &time, RandomSource &random,
           SendFunction send);

  /// Opens, sends and closes what is due; call it every few milliseconds.
  auto tick(FlowMeasures &m) -> void;
  /// A packet of kind FlowData or FlowReset.
  auto onPacket(const Packet &p, FlowMeasures &m) -> void;
  /// Flows to upstreams of data centre \p name end from now on as given up.
  auto setWithdrawn(const std::string &name, bool withdrawn) -> void;
  /// Flows that have heard their upstream.
  auto established() const -> std::size_t;

private:
  struct Flow {
    FlowKey Key;
    Endpoint Fabric;
    /// Empty until the first answer.
    std::string Upstream;
    std::uint64_t NextNumber = 0;
    TimePoint NextSend;
    TimePoint LastAnswer;
    TimePoint EndsAt = TimePoint::max();
  };

  auto open(FlowMeasures &m) -> void;
  /// True while fewer flows than wanted end by themselves.
  auto needsShortFlow() const -> bool;
  auto sendNext(Flow &f, FlowMeasures &m) -> void;
  auto advance(Flow &f, TimePoint now, FlowMeasures &m) -> bool;
  auto isInWithdrawnDataCentre(const Flow &f) const -> bool;
  auto countInterrupted(const Flow &f, std::uint64_t &counter, FlowMeasures &m)
      -> void;

  FlowLoadOptions Options;
  const Clock &Time;
  RandomSource &Random;
  SendFunction SendPacket;
  std::unordered_map<Endpoint, Flow> Flows;
  std::set<std::string> WithdrawnDataCentres;
  std::uint32_t NextCaller = 0;
  TimePoint NextOpen;
};

} // namespace boragebridge::bench

#endif
