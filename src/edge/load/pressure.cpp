#include "edge/load/pressure.h"

#include "edge/decay.h"

namespace boragebridge {

auto Pressure::decay(TimePoint now) -> void {
  const auto left = decayFactor(now - DecayedAt, Options.Window);
  Requests *= left;
  Missed *= left;
  DecayedAt = now;
}

auto Pressure::record(double failures, TimePoint now) -> void {
  decay(now);
  Requests += 1;
  Missed += failures;
  decide(now);
}

auto Pressure::tick(TimePoint now) -> void {
  decay(now);
  decide(now);
}

auto Pressure::decide(TimePoint now) -> void {
  const auto share = missedShare();
  if (share > Options.BeginShare && Missed >= Options.MinMissed)
    On = true;
  // Without requests there is no pressure, whatever the last ones met.
  if (share > Options.EndShare && Requests >= 1)
    HighAt = now;
  if (On && now - HighAt > Options.EndTime)
    On = false;
}

} // namespace boragebridge
