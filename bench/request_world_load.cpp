#include "request_world_load.h"

#include <algorithm>
#include <cmath>

namespace boragebridge::bench {

using fakes::RequestWorld;
using fakes::RequestWorldOptions;

auto deploymentOptions(const std::string &name, std::uint64_t seed)
    -> RequestWorldOptions {
  RequestWorldOptions opt;
  opt.Seed = seed;
  const auto isAlliance = name == "alliance";
  opt.DataCentres =
      isAlliance ? std::vector<std::string>{"taipei", "hsinchu", "taoyuan"}
                 : std::vector<std::string>{"palermo", "catania", "siracusa",
                                            "trapani"};
  opt.InstancesPerDataCentre = 2;
  opt.BookingHosts = isAlliance ? 5 : 4;
  opt.UploadHosts = 1;
  opt.BookingWork = std::chrono::milliseconds(200);
  opt.UploadWork = std::chrono::milliseconds(800);
  opt.UploadAnswer = 4000;
  opt.CallerLoss = 0.002;
  opt.AnswerLoss = 0.0005;
  opt.DuplicateShare = 0.01;
  return opt;
}

OpenLoad::OpenLoad(RequestWorld &world, ServiceId s, std::size_t firstCaller,
                   std::size_t callers, std::uint64_t seed)
    : World(world), Service(s), FirstCaller(firstCaller), Callers(callers),
      Random(seed), NextSubmission(world.now()) {}

auto OpenLoad::setRate(double perSecond) -> void {
  Rate = perSecond;
  NextSubmission = World.now();
}

auto OpenLoad::tick() -> void {
  if (Rate <= 0)
    return;
  while (NextSubmission <= World.now()) {
    RequestSpec spec;
    spec.Service = Service;
    Submitted.push_back(
        World.submit(FirstCaller + Random.below(Callers), std::move(spec)));
    const auto wait = -std::log(1 - Random.unit()) / Rate;
    NextSubmission += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(wait));
  }
}

ClosedLoad::ClosedLoad(RequestWorld &world, ServiceId s,
                       std::size_t firstCaller, std::size_t callers)
    : World(world), Service(s), FirstCaller(firstCaller), Callers(callers) {}

auto ClosedLoad::tick() -> void {
  std::erase_if(InProgress, [this](std::uint64_t id) {
    return World.requests()[id].IsEnded;
  });
  while (InProgress.size() < Target) {
    RequestSpec spec;
    spec.Service = Service;
    const auto caller = FirstCaller + (InProgress.size() % Callers);
    InProgress.push_back(World.submit(caller, std::move(spec)));
  }
}

auto answeredPerSecond(const RequestWorld &w, ServiceId s, TimePoint from,
                       TimePoint to) -> double {
  const auto &all = w.requests();
  const auto n = std::count_if(all.begin(), all.end(), [&](const auto &r) {
    return r.Service == s && r.IsEnded && r.Kind == OutcomeKind::Answered &&
           r.Ended >= from && r.Ended < to;
  });
  return static_cast<double>(n) /
         std::chrono::duration<double>(to - from).count();
}

auto latencyQuantile(const RequestWorld &w, TimePoint from, TimePoint to,
                     double q) -> double {
  std::vector<double> ms;
  for (const auto &r : w.requests())
    if (r.IsEnded && r.Kind == OutcomeKind::Answered && r.Submitted >= from &&
        r.Submitted < to)
      ms.push_back(
          std::chrono::duration<double, std::milli>(r.Ended - r.Submitted)
              .count());
  if (ms.empty())
    return 0;
  std::sort(ms.begin(), ms.end());
  const auto at = static_cast<std::size_t>(q * static_cast<double>(ms.size()));
  return ms[std::min(at, ms.size() - 1)];
}

} // namespace boragebridge::bench
