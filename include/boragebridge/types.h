/// \file
/// Identifiers and small values that every module shares.
///
/// Names in the operators' sheet are text; inside the system each is the
/// 64-bit XXH3 hash of its name, so that all instances agree on it without an
/// allocator. The sheet check refuses two names with one hash.
///
/// Example:
/// \code
///   auto id = idFromName<ServiceId>("cenacolo-booking");
/// \endcode
///
/// All types here are plain values and may be used from any thread.
#ifndef BORAGEBRIDGE_TYPES_H
#define BORAGEBRIDGE_TYPES_H

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragebridge {

/// An entry instance, by the name in its settings. A replaced instance of the
/// same name keeps its identifier and gets a new Incarnation.
enum class InstanceId : std::uint64_t {};
/// A random number drawn at process start; tells a restart from a pause.
enum class Incarnation : std::uint64_t {};
/// A data centre, by name.
enum class DataCentreId : std::uint64_t {};
/// A service, by name.
enum class ServiceId : std::uint64_t {};
/// An upstream, by name. The same host address may later carry another name.
enum class UpstreamId : std::uint64_t {};
/// A caller's stable identity, chosen by the caller at random.
enum class CallerId : std::uint64_t {};
/// Revision of the configuration; only goes up. 0 means none is known.
enum class Revision : std::uint64_t {};

using Duration = std::chrono::nanoseconds;
/// Steady time of one process. Not comparable between instances.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Bytes = std::vector<std::byte>;
using ByteView = std::span<const std::byte>;

/// XXH3 of \p s, the hash behind every identifier.
auto hashName(std::string_view s) -> std::uint64_t;

/// The identifier of type \p Id for the name \p s.
template <typename Id> auto idFromName(std::string_view s) -> Id {
  return Id{hashName(s)};
}

/// The plain number behind an identifier.
template <typename Id> constexpr auto raw(Id id) -> std::uint64_t {
  return static_cast<std::uint64_t>(id);
}

/// An IPv4 address and port, both in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const Endpoint &) const = default;
};

/// "127.0.0.1:80" for \p e.
auto toString(const Endpoint &e) -> std::string;
/// Parses "a.b.c.d:port" into \p e; false when \p s is anything else.
auto parseEndpoint(std::string_view s, Endpoint &e) -> bool;

/// One flow: the caller's end, the service's address, and the IP protocol.
struct FlowKey {
  Endpoint Caller;
  Endpoint Service;
  std::uint8_t Protocol = 6;
  auto operator<=>(const FlowKey &) const = default;
};

/// XXH3 of the fields of \p k with \p seed; the same on every instance.
auto hashFlow(const FlowKey &k, std::uint64_t seed = 0) -> std::uint64_t;

/// Mixes two numbers into one hash; the base of rendezvous hashing.
auto hashPair(std::uint64_t a, std::uint64_t b) -> std::uint64_t;

} // namespace boragebridge

template <> struct std::hash<boragebridge::Endpoint> {
  auto operator()(const boragebridge::Endpoint &e) const noexcept
      -> std::size_t {
    return (std::size_t{e.Address} << 16) | e.Port;
  }
};
template <> struct std::hash<boragebridge::FlowKey> {
  auto operator()(const boragebridge::FlowKey &k) const noexcept
      -> std::size_t {
    return boragebridge::hashFlow(k);
  }
};

#endif
