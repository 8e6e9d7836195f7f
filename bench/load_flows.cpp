#include "load_flows.h"

#include <algorithm>

namespace boragebridge::bench {

/// Each flow has a caller address of its own, from 10.64.0.0 upwards.
static constexpr std::uint32_t FirstCallerAddress = 0x0A400000;
static constexpr std::uint16_t CallerPort = 40000;

FlowLoad::FlowLoad(FlowLoadOptions opt, const Clock &time, RandomSource &random,
                   SendFunction send)
    : Options(std::move(opt)), Time(time), Random(random),
      SendPacket(std::move(send)), NextOpen(time.now()) {}

auto FlowLoad::open(FlowMeasures &m) -> void {
  const auto now = Time.now();
  const auto &service = Options.Services[Random.below(Options.Services.size())];
  Flow f;
  f.Key = {{FirstCallerAddress + NextCaller++, CallerPort}, service.Address, 6};
  f.Fabric = Options.Fabrics[Random.below(Options.Fabrics.size())];
  f.NextSend = now;
  f.LastAnswer = now;
  if (needsShortFlow())
    f.EndsAt = now + Random.jitter(Options.ShortFlowLifetime);
  ++m.Opened;
  Flows.emplace(f.Key.Caller, std::move(f));
}

auto FlowLoad::needsShortFlow() const -> bool {
  const auto n = std::count_if(Flows.begin(), Flows.end(), [](const auto &it) {
    return it.second.EndsAt != TimePoint::max();
  });
  return static_cast<double>(n) <
         Options.ShortFlowShare * static_cast<double>(Flows.size() + 1);
}

auto FlowLoad::sendNext(Flow &f, FlowMeasures &m) -> void {
  Packet p{PacketKind::FlowData, f.Key, Bytes(16)};
  if (f.Upstream.empty())
    p.Kind = PacketKind::FlowOpen;
  const auto number = f.NextNumber++;
  for (std::size_t i = 0; i < sizeof(number); ++i)
    p.Payload[i] = static_cast<std::byte>(number >> (8 * i));
  f.NextSend = Time.now() + Random.jitter(Options.Interval);
  ++m.PacketsSent;
  SendPacket(f.Fabric, p);
}

auto FlowLoad::isInWithdrawnDataCentre(const Flow &f) const -> bool {
  const auto dc = f.Upstream.substr(0, f.Upstream.find('-'));
  return WithdrawnDataCentres.contains(dc);
}

auto FlowLoad::countInterrupted(const Flow &f, std::uint64_t &counter,
                                FlowMeasures &m) -> void {
  ++(isInWithdrawnDataCentre(f) ? m.EndedByWithdrawal : counter);
}

auto FlowLoad::advance(Flow &f, TimePoint now, FlowMeasures &m) -> bool {
  if (now >= f.EndsAt && !f.Upstream.empty()) {
    SendPacket(f.Fabric, {PacketKind::FlowClose, f.Key, {}});
    ++m.Closed;
    return false;
  }
  if (now - f.LastAnswer > Options.ResponseTimeout) {
    if (f.Upstream.empty())
      ++m.OpenFailed;
    else
      countInterrupted(f, m.BrokenByTimeout, m);
    return false;
  }
  if (now >= f.NextSend)
    sendNext(f, m);
  return true;
}

auto FlowLoad::tick(FlowMeasures &m) -> void {
  const auto now = Time.now();
  if (now >= NextOpen && Flows.size() < Options.Flows) {
    open(m);
    NextOpen =
        now + Random.jitter(std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(1 / Options.OpensPerSecond)));
  }
  for (auto it = Flows.begin(); it != Flows.end();)
    it = advance(it->second, now, m) ? std::next(it) : Flows.erase(it);
}

auto FlowLoad::onPacket(const Packet &p, FlowMeasures &m) -> void {
  auto it = Flows.find(p.Flow.Caller);
  if (it == Flows.end())
    return;
  auto &f = it->second;
  if (p.Kind == PacketKind::FlowReset) {
    if (f.Upstream.empty())
      ++m.OpenFailed;
    else
      countInterrupted(f, m.BrokenByReset, m);
    Flows.erase(it);
    return;
  }
  const auto end =
      std::find(p.Payload.begin(), p.Payload.end(), std::byte{' '});
  std::string upstream;
  for (auto at = p.Payload.begin(); at != end; ++at)
    upstream.push_back(static_cast<char>(*at));
  if (!f.Upstream.empty() && f.Upstream != upstream) {
    countInterrupted(f, m.BrokenByOtherUpstream, m);
    Flows.erase(it);
    return;
  }
  f.Upstream = upstream;
  f.LastAnswer = Time.now();
  ++m.PacketsAnswered;
}

auto FlowLoad::setWithdrawn(const std::string &name, bool withdrawn) -> void {
  if (withdrawn)
    WithdrawnDataCentres.insert(name);
  else
    WithdrawnDataCentres.erase(name);
}

auto FlowLoad::established() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Flows.begin(), Flows.end(), [](const auto &it) {
        return !it.second.Upstream.empty();
      }));
}

} // namespace boragebridge::bench
