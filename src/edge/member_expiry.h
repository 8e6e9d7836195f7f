/// \file
/// Finds instances that are permanently gone, so that their records can be
/// removed. Instances are replaced frequently, and records do not expire by
/// themselves.
///
/// The root of a data centre's mirror tree checks the members of its data
/// centre one after the other. A member that has not answered any check for
/// ExpireAfter is gone, and its record may be removed. If the instance is
/// running after all, it registers again. An instance that cannot tell whether
/// it is still registered stops opening flows to cold upstreams well before its
/// record is removed (ColdStartQuotaOptions::MemberLease).
///
/// Example:
/// \code
///   if (const auto *member = expiry.nextToCheck(now))
///     ...  // send a check to member->Address; when it ends:
///   if (expiry.onChecked(memberName, answered, now))
///     ...  // remove the record of the member
/// \endcode
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_MEMBER_EXPIRY_H
#define BORAGEBRIDGE_EDGE_MEMBER_EXPIRY_H

#include "edge/mirror_tree.h"

namespace boragebridge {

struct MemberExpiryOptions {
  /// Time between two checks, of the same or of different members.
  Duration CheckInterval = std::chrono::seconds(5);
  Duration ExpireAfter = std::chrono::minutes(15);
  /// Minimum number of consecutive checks that a member must miss, in addition
  /// to ExpireAfter.
  unsigned MissesToExpire = 3;
};

class MemberExpiry {
public:
  MemberExpiry(std::string self, DataCentreId localDataCentre,
               MemberExpiryOptions opt = {})
      : Self(std::move(self)), LocalDataCentre(localDataCentre), Options(opt) {}

  /// Replaces the registered members. The state of members whose records are
  /// unchanged is kept.
  auto setMembers(const std::vector<MemberRecord> &all) -> void;
  /// The member to check now, or null. Valid until the next call of
  /// setMembers(). Each call that returns a member starts a check.
  auto nextToCheck(TimePoint now) -> const MemberRecord *;
  /// Records the result of a check of \p name. Returns whether the member is
  /// permanently gone.
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
