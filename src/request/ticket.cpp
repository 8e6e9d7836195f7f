#include "request/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstring>

namespace boragebridge {

namespace {

constexpr std::uint64_t TicketVersion = 1;
constexpr std::size_t MacSize = 16;
using Words = std::array<std::uint64_t, 6>;
constexpr std::size_t TicketSize = sizeof(Words) + MacSize;
using Mac = std::array<unsigned char, EVP_MAX_MD_SIZE>;

auto toWords(const TicketFields &f) -> Words {
  return {TicketVersion, raw(f.Owner), raw(f.OwnerIncarnation),
          raw(f.Caller), f.Sequence,   f.Epoch};
}

auto computeMac(const TicketKey &key, const Words &words) -> Mac {
  Mac mac{};
  HMAC(EVP_sha256(), key.Words.data(), sizeof(key.Words),
       reinterpret_cast<const unsigned char *>(words.data()), sizeof(words),
       mac.data(), nullptr);
  return mac;
}

auto generateKey(std::uint64_t epoch, RandomSource &random) -> TicketKey {
  TicketKey key{epoch, {}};
  for (auto &w : key.Words)
    w = random.next();
  return key;
}

} // namespace

auto requestNumber(const TicketFields &f) -> std::uint64_t {
  return hashPair(raw(f.OwnerIncarnation), f.Sequence) | 1U;
}

auto readTicket(ByteView sealed) -> std::optional<TicketFields> {
  if (sealed.size() != TicketSize)
    return std::nullopt;
  Words w{};
  std::memcpy(w.data(), sealed.data(), sizeof(w));
  if (w[0] != TicketVersion)
    return std::nullopt;
  return TicketFields{InstanceId{w[1]}, Incarnation{w[2]}, CallerId{w[3]}, w[4],
                      w[5]};
}

TicketSealer::TicketSealer(RandomSource &random)
    : Keys{generateKey(1, random)} {}

auto TicketSealer::rotate(RandomSource &random) -> void {
  Keys.push_back(generateKey(epoch() + 1, random));
  if (Keys.size() > KeptEpochs)
    Keys.pop_front();
}

auto TicketSealer::seal(TicketFields f) const -> Bytes {
  f.Epoch = epoch();
  const auto words = toWords(f);
  const auto mac = computeMac(Keys.back(), words);
  Bytes sealed(TicketSize);
  std::memcpy(sealed.data(), words.data(), sizeof(words));
  std::memcpy(sealed.data() + sizeof(words), mac.data(), MacSize);
  return sealed;
}

auto TicketSealer::isGenuine(ByteView sealed, const TicketFields &f) const
    -> bool {
  if (sealed.size() != TicketSize)
    return false;
  for (const auto &key : Keys) {
    if (key.Epoch != f.Epoch)
      continue;
    const auto mac = computeMac(key, toWords(f));
    return CRYPTO_memcmp(mac.data(), sealed.data() + sizeof(Words), MacSize) ==
           0;
  }
  return false;
}

auto TicketSealer::isUsable(std::uint64_t e) const -> bool {
  return e <= epoch() && e + UsableEpochs > epoch();
}

auto TicketSealer::isForgotten(std::uint64_t e) const -> bool {
  return e < Keys.front().Epoch;
}

} // namespace boragebridge
