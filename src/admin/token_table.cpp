#include "admin/token_table.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace boragebridge {

auto sha256Hex(std::string_view s) -> std::string {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(s.data()), s.size(),
         digest.data());
  std::string hex;
  for (auto byte : digest) {
    hex += Digits[byte >> 4];
    hex += Digits[byte & 0xFU];
  }
  return hex;
}

TokenTable::TokenTable(const Clock &clock, AdminSettings settings)
    : Time(clock), Settings(std::move(settings)) {}

auto TokenTable::authenticate(const std::string &authorization) const
    -> const AdminToken * {
  constexpr std::string_view Scheme = "Bearer ";
  if (!authorization.starts_with(Scheme))
    return nullptr;
  const auto hash =
      sha256Hex(std::string_view(authorization).substr(Scheme.size()));
  const AdminToken *found = nullptr;
  for (const auto &it : Settings.Tokens)
    if (it.Sha256.size() == hash.size() &&
        CRYPTO_memcmp(it.Sha256.data(), hash.data(), hash.size()) == 0)
      found = &it;
  return found;
}

auto TokenTable::admitChange(const std::string &actor) -> bool {
  constexpr double SecondsPerMinute = 60;
  const auto now = Time.now();
  const auto limit = Settings.Limits.ChangesPerMinute;
  const auto [it, added] = Rates.try_emplace(actor, Bucket{limit, now});
  auto &b = it->second;
  const std::chrono::duration<double> passed = now - b.RefilledAt;
  b.RefilledAt = now;
  b.Tokens =
      std::min(limit, b.Tokens + limit * passed.count() / SecondsPerMinute);
  if (b.Tokens < 1)
    return false;
  b.Tokens -= 1;
  return true;
}

auto TokenTable::replace(AdminSettings settings) -> void {
  Settings = std::move(settings);
  std::erase_if(Rates, [this](const auto &it) {
    return std::none_of(Settings.Tokens.begin(), Settings.Tokens.end(),
                        [&](const auto &t) { return t.Actor == it.first; });
  });
}

} // namespace boragebridge
