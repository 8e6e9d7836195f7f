#include "edge/parent_discovery.h"

#include <utility>

namespace boragebridge {

auto ParentDiscovery::tick(TimePoint now) -> bool {
  if (!Read || IsRead)
    return true;
  if (!Options.IsNewFleet)
    ReadFrom = ReadFrom.value_or(now);
  if (!ReadFrom) {
    if (!std::exchange(IsRegistering, true))
      DoRegister();
    return false;
  }
  if (now < *ReadFrom)
    return false;
  if (!ReadStarted)
    startRead(now);
  return IsRead || now - *ReadStarted >= Options.ListTimeout;
}

auto ParentDiscovery::onRegistered(bool isNew, TimePoint now) -> void {
  if (!ReadFrom)
    ReadFrom = isNew ? now + Options.NewFleetWait : now;
}

auto ParentDiscovery::startRead(TimePoint now) -> void {
  ReadStarted = now;
  Read([this, alive = std::weak_ptr<bool>(Alive)](
           const absl::StatusOr<ObjectList> &r) {
    if (alive.expired())
      return;
    IsRead = true;
    if (r.ok())
      MembersRead(*r);
  });
}

} // namespace boragebridge
