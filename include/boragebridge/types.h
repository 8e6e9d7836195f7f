/// \file
/// Identifiers and small value types shared by all modules.
///
/// Names in the operators' sheet are text. Internally each is replaced by its
/// 64-bit XXH3 hash, so that all instances use the same identifier without
/// coordination. The check of the sheet rejects two names with the same hash.
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

/// Identifies an entry instance by the name in its settings. A replacement with
/// the same name has the same identifier and a new Incarnation.
enum class InstanceId : std::uint64_t {};
/// A random number generated at process start. It distinguishes a restart from
/// a pause.
enum class Incarnation : std::uint64_t {};
/// Identifies a data centre by name.
enum class DataCentreId : std::uint64_t {};
/// Identifies a service by name.
enum class ServiceId : std::uint64_t {};
/// Identifies an upstream by name. Its host address may be reused later by an
/// upstream of another name.
enum class UpstreamId : std::uint64_t {};
/// Identifies a caller. The caller chooses it at random and keeps it.
enum class CallerId : std::uint64_t {};
/// Revision of the configuration. It never decreases; 0 means that none is
/// known.
enum class Revision : std::uint64_t {};

using Duration = std::chrono::nanoseconds;
/// Time of the steady clock of one process. Not comparable between instances.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Bytes = std::vector<std::byte>;
using ByteView = std::span<const std::byte>;

/// The XXH3 hash of \p s, from which all identifiers are made.
auto hashName(std::string_view s) -> std::uint64_t;

/// The identifier of type \p Id for the name \p s.
template <typename Id> auto idFromName(std::string_view s) -> Id {
  return Id{hashName(s)};
}

/// The integer value of an identifier.
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
/// Parses "a.b.c.d:port" into \p e. Returns false, and leaves \p e unchanged,
/// if \p s has another form.
auto parseEndpoint(std::string_view s, Endpoint &e) -> bool;

/// Identifies a flow: the caller's endpoint, the service's address and the IP
/// protocol.
struct FlowKey {
  Endpoint Caller;
  Endpoint Service;
  std::uint8_t Protocol = 6;
  auto operator<=>(const FlowKey &) const = default;
};

/// The XXH3 hash of the fields of \p k with \p seed. Equal on all instances.
auto hashFlow(const FlowKey &k, std::uint64_t seed = 0) -> std::uint64_t;

/// Combines two numbers into one hash. Used for rendezvous hashing.
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
