#include "store/view_confirmer.h"

#include <algorithm>

namespace boragebridge {

auto ViewConfirmer::latestVersion() const -> ObjectVersion {
  ObjectVersion latest = 0;
  for (const auto *it : Watchers)
    latest = std::max(latest, it->version());
  return latest;
}

auto ViewConfirmer::tick(TimePoint now) -> void {
  if (Heartbeat.isLate(now, Options.Grace))
    Heartbeat.confirm();
  if (Wanted == 0 && Heartbeat.confirmedAt() != LastAnswer) {
    LastAnswer = Heartbeat.confirmedAt();
    Wanted = latestVersion();
    CheckAt = now + Options.Grace;
  }
  if (Wanted == 0 || now < CheckAt)
    return;
  for (auto *it : Watchers)
    if (it->version() < Wanted)
      it->confirm();
  Wanted = 0;
}

} // namespace boragebridge
