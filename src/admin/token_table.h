/// \file
/// The tokens of the administration API and the rate limits of their actors.
#ifndef BORAGEBRIDGE_ADMIN_TOKEN_TABLE_H
#define BORAGEBRIDGE_ADMIN_TOKEN_TABLE_H

#include "admin/administration_api.h"

namespace boragebridge {

/// SHA-256 of \p s as 64 lower-case hexadecimal digits.
auto sha256Hex(std::string_view s) -> std::string;

/// Authenticates callers and limits the rate of their changes. Not thread-safe.
class TokenTable {
public:
  TokenTable(const Clock &clock, AdminSettings settings);

  /// Returns the token that \p authorization, "Bearer TOKEN", presents, or
  /// null. Compares every hash in constant time.
  auto authenticate(const std::string &authorization) const
      -> const AdminToken *;
  /// Counts one change of \p actor; false when its rate limit is exhausted.
  auto admitChange(const std::string &actor) -> bool;
  /// Replaces tokens and limits.
  auto replace(AdminSettings settings) -> void;
  auto limits() const -> const AdminLimits & { return Settings.Limits; }

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint RefilledAt;
  };

  const Clock &Time;
  AdminSettings Settings;
  /// By actor, so that a rotated key does not refill the bucket.
  std::map<std::string, Bucket> Rates;
};

} // namespace boragebridge

#endif
