/// \file
/// The part of EdgeViews that deals with the members of the fleet: their
/// records, the registration of this instance, the removal of members that have
/// left, and the advertisement of its mirror to others.
#include "edge/edge_views.h"

#include "edge/edge_events.h"

#include <algorithm>

namespace boragebridge {

auto EdgeViews::parseMembers(const ObjectList &l) const
    -> std::vector<MemberRecord> {
  std::vector<MemberRecord> out;
  for (const auto &it : l.Events)
    if (auto m = parseMember(nameInKey(it.Object.Key, Format.memberPrefix()),
                             it.Object.Value);
        m.ok())
      out.push_back(*std::move(m));
  return out;
}

auto EdgeViews::nextAdvertisements(TimePoint now) -> std::vector<Endpoint> {
  if (now < NextAdvertisement || !isComplete() || isStoreReachable() ||
      Options.Self.Address.Port == 0)
    return {};
  NextAdvertisement = now + Options.AdvertisementInterval;
  const auto others = otherMirrors(true);
  const auto n = std::min(Options.AdvertisementsPerRound, others.size());
  const auto first = n * AdvertisementRound++;
  std::vector<Endpoint> out;
  for (std::size_t i = 0; i < n; ++i)
    out.push_back(others[(first + i) % others.size()]);
  return out;
}

auto EdgeViews::otherMirrors(bool isLocal) const -> std::vector<Endpoint> {
  std::vector<Endpoint> out;
  std::size_t before = 0;
  for (const auto &[name, it] : Members) {
    if (name == Options.Self.Name || it.Address.Port == 0 ||
        (it.DataCentre == Options.Self.DataCentre) != isLocal)
      continue;
    if (name < Options.Self.Name)
      ++before;
    out.push_back(it.Address);
  }
  std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(before),
              out.end());
  return out;
}

auto EdgeViews::peers() const -> std::vector<Endpoint> {
  const auto local = otherMirrors(true);
  const auto remote = otherMirrors(false);
  std::vector<Endpoint> out;
  for (std::size_t i = 0; i < std::max(local.size(), remote.size()); ++i) {
    if (i < local.size())
      out.push_back(local[i]);
    if (i < remote.size())
      out.push_back(remote[i]);
  }
  return out;
}

auto EdgeViews::onMemberList(const ObjectList &l) -> void {
  Members.clear();
  MemberVersions.clear();
  onMemberEvents(l);
}

auto EdgeViews::onMemberEvents(const ObjectList &l) -> void {
  for (const auto &it : l.Events) {
    const auto name = nameInKey(it.Object.Key, Format.memberPrefix());
    if (it.Removed) {
      Members.erase(name);
      MemberVersions.erase(name);
      continue;
    }
    MemberVersions[name] = it.Object.Version;
    auto member = parseMember(name, it.Object.Value);
    if (member.ok())
      Members[name] = *std::move(member);
    else
      logRefused(it.Object, member.status());
  }
  std::vector<std::string> names;
  std::vector<MemberRecord> records;
  for (const auto &[name, it] : Members) {
    names.push_back(name);
    records.push_back(it);
  }
  Quota.setMembers(names);
  Quota.confirmMembers(Time.now());
  Tree.setMembers(records);
  Expiry.setMembers(records);
  if (Options.OnMembers)
    Options.OnMembers(records);
}

auto EdgeViews::checkMember(TimePoint now) -> void {
  // While the store is unreachable, a member that does not answer may be cut
  // off rather than gone.
  if (!isStoreReachable())
    return;
  const auto *member = Expiry.nextToCheck(now);
  if (member == nullptr)
    return;
  CheckClient = Platform.makeMirrorClient(member->Address);
  CheckClient->watch(
      Format.memberPrefix(), MemberWatch.version(), Duration::zero(),
      [this, m = *member, alive = std::weak_ptr<bool>(Alive)](const auto &r) {
        if (!alive.expired())
          onMemberChecked(m, r.ok() || absl::IsFailedPrecondition(r.status()) ||
                                 absl::IsOutOfRange(r.status()));
      });
}

auto EdgeViews::onMemberChecked(const MemberRecord &m, bool answered) -> void {
  const auto version = memberVersion(m.Name);
  if (!Expiry.onChecked(m.Name, answered, Time.now()) || version == 0)
    return;
  Platform.remove(
      Format.memberPrefix() + m.Name, version,
      [this, name = m.Name, alive = std::weak_ptr<bool>(Alive)](
          const absl::StatusOr<ObjectVersion> &r) {
        if (alive.expired())
          return;
        Log.write(
            events::MemberExpired,
            {{"member", name},
             {"result", r.ok() ? "ok" : std::string(r.status().message())}});
      });
}

auto EdgeViews::memberVersion(const std::string &name) const -> ObjectVersion {
  const auto it = MemberVersions.find(name);
  return it == MemberVersions.end() ? 0 : it->second;
}

auto EdgeViews::registerSelf(TimePoint now) -> void {
  // After a start, the views are read before this instance registers.
  if (Registering || now < NextRegistration || !isComplete() ||
      !MemberWatch.hasView())
    return;
  const auto record = Members.find(Options.Self.Name);
  if (record != Members.end() && record->second == Options.Self)
    return;
  putSelf(memberVersion(Options.Self.Name), now);
}

auto EdgeViews::putSelf(ObjectVersion version, TimePoint now) -> void {
  Registering = true;
  NextRegistration = now + Options.RegistrationInterval;
  const auto isNew = version == 0;
  Platform.put(
      Format.memberPrefix() + Options.Self.Name, formatMember(Options.Self),
      version,
      [this, isNew, alive = std::weak_ptr<bool>(Alive)](
          const absl::StatusOr<ObjectVersion> &r) {
        if (alive.expired())
          return;
        Registering = false;
        const auto end = Time.now();
        Discovery.onRegistered(r.ok(), end);
        if (isNew && !absl::IsAborted(r.status()))
          Quota.waitUntil(end + Options.NewMemberWait);
        Log.write(
            events::MemberRegistered,
            {{"new", isNew ? "true" : "false"},
             {"result", r.ok() ? "ok" : std::string(r.status().message())}});
      });
}

} // namespace boragebridge
