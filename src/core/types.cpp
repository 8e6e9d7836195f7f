#include "boragebridge/types.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace boragebridge {

auto hashName(std::string_view s) -> std::uint64_t {
  return XXH3_64bits(s.data(), s.size());
}

auto toString(const Endpoint &e) -> std::string {
  std::string s;
  for (auto shift : {24, 16, 8, 0}) {
    s += std::to_string((e.Address >> shift) & 0xFFU);
    s += shift != 0 ? '.' : ':';
  }
  return s + std::to_string(e.Port);
}

/// Parses a number of at most \p max, followed by \p end (0: the end of the
/// text), and removes both from the front of \p s. Returns false otherwise.
static auto consumeNumber(std::string_view &s, std::uint32_t max, char end,
                          std::uint32_t &v) -> bool {
  auto [it, ec] = std::from_chars(s.data(), s.data() + s.size(), v);
  if (ec != std::errc() || v > max)
    return false;
  s.remove_prefix(static_cast<std::size_t>(it - s.data()));
  if (end == 0)
    return s.empty();
  if (s.empty() || s.front() != end)
    return false;
  s.remove_prefix(1);
  return true;
}

auto parseEndpoint(std::string_view s, Endpoint &e) -> bool {
  constexpr std::uint32_t MaxOctet = 255;
  constexpr std::uint32_t MaxPort = 65535;
  std::uint32_t address = 0;
  std::uint32_t v = 0;
  for (auto end : {'.', '.', '.', ':'}) {
    if (!consumeNumber(s, MaxOctet, end, v))
      return false;
    address = (address << 8) | v;
  }
  if (!consumeNumber(s, MaxPort, 0, v))
    return false;
  e = Endpoint{address, static_cast<std::uint16_t>(v)};
  return true;
}

auto hashFlow(const FlowKey &k, std::uint64_t seed) -> std::uint64_t {
  auto pack = [](const Endpoint &e) {
    return (std::uint64_t{e.Address} << 16) | e.Port;
  };
  std::array<std::uint64_t, 3> words{pack(k.Caller), pack(k.Service),
                                     k.Protocol};
  return XXH3_64bits_withSeed(words.data(), sizeof(words), seed);
}

auto hashPair(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
  std::array<std::uint64_t, 2> words{a, b};
  return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace boragebridge
