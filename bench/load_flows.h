/// \file
/// Callers with long flows. Each flow sends numbered packets and requires that
/// all answers come from the same upstream.
#ifndef BORAGEBRIDGE_BENCH_LOAD_FLOWS_H
#define BORAGEBRIDGE_BENCH_LOAD_FLOWS_H

#include "load_measures.h"

#include "boragebridge/clock.h"
#include "boragebridge/packet.h"
#include "boragebridge/random.h"

#include <set>
#include <unordered_map>

namespace boragebridge::bench {

/// The name and address by which callers reach a service.
struct LoadService {
  std::string Name;
  Endpoint Address;
  ServiceId Id{};
};

/// The number, rate and destinations of the flows.
struct FlowLoadOptions {
  /// Flows open at the same time.
  std::size_t Flows = 400;
  /// Mean rate of new flows, per second, while fewer than Flows are open.
  double OpensPerSecond = 40;
  /// Mean time between two packets of a flow.
  Duration Interval = std::chrono::milliseconds(250);
  /// Longest time without an answer. After it, an established flow counts as
  /// broken, any other as failed to open.
  Duration ResponseTimeout = std::chrono::seconds(5);
  /// Share of the open flows that the caller closes after ShortFlowLifetime on
  /// average. The other flows stay open until the run ends.
  double ShortFlowShare = 0.3;
  Duration ShortFlowLifetime = std::chrono::seconds(8);
  std::vector<LoadService> Services;
  /// The fabric's address in each data centre.
  std::vector<Endpoint> Fabrics;
};

/// Opens flows and sends their packets. Not thread-safe.
class FlowLoad {
public:
  using SendFunction =
      std::function<void(const Endpoint &fabric, const Packet &p)>;

  FlowLoad(FlowLoadOptions opt, const Clock &time, RandomSource &random,
           SendFunction send);

  /// Opens flows, sends packets and closes flows as they become due. Opens at
  /// most one flow per call, so it must be called every few milliseconds.
  auto tick(FlowMeasures &m) -> void;
  /// Handles a packet of kind FlowData or FlowReset. The payload of FlowData
  /// starts with the name of the upstream, up to the first space.
  auto onPacket(const Packet &p, FlowMeasures &m) -> void;
  /// Marks data centre \p name as withdrawn or not. A flow that breaks while
  /// its upstream is in a withdrawn data centre counts as
  /// FlowMeasures::EndedByWithdrawal instead of broken.
  auto setWithdrawn(const std::string &name, bool withdrawn) -> void;
  /// Returns the number of open flows that have received an answer.
  auto established() const -> std::size_t;

private:
  struct Flow {
    FlowKey Key;
    Endpoint Fabric;
    /// Name of the upstream that answered first; empty until then.
    std::string Upstream;
    std::uint64_t NextNumber = 0;
    TimePoint NextSend;
    TimePoint LastAnswer;
    TimePoint EndsAt = TimePoint::max();
  };

  auto open(FlowMeasures &m) -> void;
  /// Returns true while the share of flows with a set end is below
  /// ShortFlowShare.
  auto needsShortFlow() const -> bool;
  auto sendNext(Flow &f, FlowMeasures &m) -> void;
  /// Closes the flow, declares it broken or sends its next packet, whichever is
  /// due. Returns false when the flow has ended.
  auto advance(Flow &f, TimePoint now, FlowMeasures &m) -> bool;
  /// Returns true if the upstream of \p f is in a withdrawn data centre. Names
  /// of upstreams are expected to be DATA_CENTRE-REST.
  auto isInWithdrawnDataCentre(const Flow &f) const -> bool;
  /// Counts a flow that ended against its caller's will: as EndedByWithdrawal
  /// when its data centre is withdrawn, else in \p counter.
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
