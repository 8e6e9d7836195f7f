/// \file
/// Keeps an address that moved to another service out of use until no instance
/// can still send it packets of the former service.
#ifndef BORAGEBRIDGE_FLOW_ADDRESS_QUARANTINE_H
#define BORAGEBRIDGE_FLOW_ADDRESS_QUARANTINE_H

#include "boragebridge/configuration.h"

#include <unordered_map>

namespace boragebridge {

/// The addresses that recently changed their service. Not thread-safe.
class AddressQuarantine {
public:
  explicit AddressQuarantine(Duration time) : Time(time) {}

  /// Records which service owns each address in \p cfg at \p now. An address
  /// whose service has changed is quarantined.
  auto update(const Configuration &cfg, TimePoint now) -> void;
  /// True while \p a may not be used: for the quarantine time after it changed
  /// its service, and until \p known, the lowest revision that any participant
  /// may still use, has reached the revision of the change.
  auto isQuarantined(const Endpoint &a, Revision known, TimePoint now) const
      -> bool;
  /// True while isQuarantined() holds for any address.
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
