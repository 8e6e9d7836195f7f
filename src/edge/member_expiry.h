/// \file
/// Finds instances that are gone for good, so that their records do not pile
/// up: instances are replaced all day, and no record ends by itself.
///
/// The root of a data centre's relay tree checks the members of its data centre
/// one after the other. One that answered no check for ExpireAfter has gone;
/// its record may be removed. An instance that lives after all registers again,
/// and one that cannot see whether it is still on record counts itself out of
/// the shares of cold upstreams well before
/// (ColdStartQuotaOptions::MemberLease).
///
/// Example:
/// \code
///   if (const auto *it = expiry.nextToCheck(now))
///     ...  // ask it, then:
///   if (expiry.onChecked(name, answered, now))
///     ...  // remove its record
/// \endcode
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_MEMBER_EXPIRY_H
#define BORAGEBRIDGE_EDGE_MEMBER_EXPIRY_H

#include "edge/mirror_tree.h"

namespace boragebridge {

struct MemberExpiryOptions {
  /// Between two checks, of whichever member.
  Duration CheckInterval = std::chrono::seconds(5);
  Duration ExpireAfter = std::chrono::minutes(15);
  /// Checks that a member has to miss besides.
  unsigned MissesToExpire = 3;
};

class MemberExpiry {
public:
  MemberExpiry(std::string self, DataCentreId localDataCentre,
               MemberExpiryOptions opt = {})
      : Self(std::move(self)), LocalDataCentre(localDataCentre), Options(opt) {}

  /// All members on record. What is known of those that stay is kept.
  auto setMembers(const std::vector<MemberRecord> &all) -> void;
  /// The member to check now, or null. It is valid until the next call of
  /// setMembers(). Each call that returns one begins a check.
  auto nextToCheck(TimePoint now) -> const MemberRecord *;
  /// Whether \p name, which was checked and answered or not, is gone for good.
  auto onChecked(const std::string &name, bool answered, TimePoint now) -> bool;

private:
  struct Member {
    MemberRecord Record;
    unsigned Misses = 0;
    TimePoint FirstMiss;
  };

  std::string Self;
  DataCentreId LocalDataCentre;
  MemberExpiryOptions Options;
  std::map<std::string, Member> Members;
  /// The member that was checked last.
  std::string LastChecked;
  TimePoint NextCheck;
};

} // namespace boragebridge

#endif
