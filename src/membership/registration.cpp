/// \file
/// The instance's entry in the platform's list of members, which serves as a
/// hint to instances that start. An instance writes its entry once at its start
/// and removes it at its end.
#include "membership/membership_controller.h"

namespace boragebridge {

static auto listPrefix(const InstanceIdentity &self) -> std::string {
  return "members/" + std::to_string(raw(self.DataCentre)) + "/";
}

auto MembershipController::platformKey() const -> std::string {
  return listPrefix(Ctx.Self) + Ctx.Self.Name;
}

/// Reads the list of this data centre repeatedly until a peer has answered.
auto MembershipController::readList(TimePoint now) -> void {
  if (Joined || now < NextListRead || !Platform->mayCallInBackground())
    return;
  NextListRead = now + Ctx.Random.jitter(Settings.ListPeriod);
  Platform->list(listPrefix(Ctx.Self), [this](absl::StatusOr<ObjectList> r) {
    if (!r.ok())
      return;
    ListedPeers.clear();
    for (const auto &it : r->Events) {
      Endpoint e;
      if (parseEndpoint(it.Object.Value, e))
        ListedPeers.push_back(e);
    }
    NextJoin = Ctx.Time.now();
  });
}

auto MembershipController::registerSelf() -> void {
  if (Registered || RegistrationOpen || StopAt != TimePoint::max() ||
      !Platform->mayCallInBackground())
    return;
  RegistrationOpen = true;
  Platform->get(platformKey(), [this](absl::StatusOr<StoredObject> r) {
    const auto address = toString(Ctx.Self.PeerAddress);
    Registered = r.ok() && r->Value == address;
    if (Registered || (!r.ok() && !absl::IsNotFound(r.status()))) {
      RegistrationOpen = false;
      return;
    }
    const auto expected = r.ok() ? r->Version : 0;
    Platform->put(platformKey(), address, expected,
                  [this](const absl::StatusOr<ObjectVersion> &v) {
                    RegistrationOpen = false;
                    Registered = v.ok();
                  });
  });
}

auto MembershipController::unregisterSelf() -> void {
  Platform->get(platformKey(), [this](absl::StatusOr<StoredObject> r) {
    if (r.ok())
      Platform->remove(platformKey(), r->Version, [](const auto &) {});
  });
}

} // namespace boragebridge
