/// \file
/// Keeps an address that moved to another service out of use until no instance
/// can still send it packets of the former one.
#ifndef BORAGEBRIDGE_FLOW_ADDRESS_QUARANTINE_H
#define BORAGEBRIDGE_FLOW_ADDRESS_QUARANTINE_H

#include "boragebridge/configuration.h"

#include <unordered_map>

namespace boragebridge {

/// Not thread-safe.
class AddressQuarantine {
public:
  explicit AddressQuarantine(Duration time) : Time(time) {}

  /// Notes the owners of all addresses in \p cfg at \p now.
  auto update(const Configuration &cfg, TimePoint now) -> void;
  /// True while \p a may not be used; \p known is the lowest revision that a
  /// participant may still use.
  auto isQuarantined(const Endpoint &a, Revision known, TimePoint now) const
      -> bool;
  /// True while any address is held or waits for a revision to be known.
  auto isPending(Revision known, TimePoint now) const -> bool;

private:
  struct Owner {
    ServiceId Service{};
    bool IsPresent = true;
    TimePoint GoneSince;
  };
  struct QuarantineEntry {
    Revision Since{};
    TimePoint Until;
  };

  Duration Time;
  std::unordered_map<Endpoint, Owner> Owners;
  std::unordered_map<Endpoint, QuarantineEntry> Quarantined;
};

} // namespace boragebridge

#endif
