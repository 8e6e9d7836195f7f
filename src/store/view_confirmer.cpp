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
  if (Revisions.isLate(now, Options.Grace))
    Revisions.confirm();
  if (Expected == 0 && Revisions.confirmedAt() != LastAnswer) {
    LastAnswer = Revisions.confirmedAt();
    Expected = latestVersion();
    CheckAt = now + Options.Grace;
  }
  if (Expected == 0 || now < CheckAt)
    return;
  for (auto *it : Watchers)
    if (it->version() < Expected)
      it->confirm();
  Expected = 0;
}

} // namespace boragebridge
