/// \file
/// Tokens of the administration API and the rate of changes of each.
#ifndef BORAGEBRIDGE_ADMIN_TOKEN_TABLE_H
#define BORAGEBRIDGE_ADMIN_TOKEN_TABLE_H

#include "admin/administration_api.h"

namespace boragebridge {

/// SHA-256 of \p s as 64 lower-case hexadecimal digits.
auto sha256Hex(std::string_view s) -> std::string;

/// Finds tokens by what callers present. Not thread-safe.
class TokenTable {
public:
  TokenTable(const Clock &clock, AdminSettings settings);

  /// The token presented as "Bearer TOKEN", or null. Compares every hash in
  /// constant time.
  auto authenticate(const std::string &authorization) const
      -> const AdminToken *;
  /// Takes one change off the rate of \p actor; false when it is spent.
  auto admitChange(const std::string &actor) -> bool;
  auto replace(AdminSettings settings) -> void;
  auto limits() const -> const AdminLimits & { return Settings.Limits; }

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint RefilledAt;
  };

  const Clock &Time;
  AdminSettings Settings;
  /// By actor, so that a rotated key does not refill the rate.
  std::map<std::string, Bucket> Rates;
};

} // namespace boragebridge

#endif
