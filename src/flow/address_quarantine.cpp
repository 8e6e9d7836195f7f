#include "flow/address_quarantine.h"

#include <algorithm>

namespace boragebridge {

auto AddressQuarantine::update(const Configuration &cfg, TimePoint now)
    -> void {
  std::unordered_map<Endpoint, ServiceId> current;
  for (const auto &s : cfg.Services)
    current.emplace(s.Address, s.Id);
  for (const auto &u : cfg.Upstreams)
    current.emplace(u.Address, u.Service);
  for (auto &[address, owner] : Owners)
    if (owner.IsPresent && !current.contains(address))
      owner = {owner.Service, false, now};
  // Ten quarantine times after the address was removed, no instance can still
  // use it for its former owner.
  std::erase_if(Owners, [&](const auto &it) {
    return !it.second.IsPresent && now - it.second.GoneSince >= 10 * Time;
  });
  std::erase_if(Quarantined,
                [&](const auto &it) { return !current.contains(it.first); });
  for (const auto &[address, service] : current) {
    auto [it, isNew] = Owners.try_emplace(address, Owner{service, true, now});
    if (!isNew && it->second.Service != service)
      Quarantined[address] = {cfg.RevisionNumber, now + Time};
    it->second = {service, true, now};
  }
}

auto AddressQuarantine::isQuarantined(const Endpoint &a, Revision known,
                                      TimePoint now) const -> bool {
  auto it = Quarantined.find(a);
  return it != Quarantined.end() &&
         (now < it->second.Until || known < it->second.Since);
}

auto AddressQuarantine::isPending(Revision known, TimePoint now) const -> bool {
  return std::any_of(Quarantined.begin(), Quarantined.end(),
                     [&](const auto &it) {
                       return now < it.second.Until || known < it.second.Since;
                     });
}

} // namespace boragebridge
