/// \file
/// Encodes and decodes health messages. Every decoder verifies the body and
/// returns std::nullopt if the body is malformed or exceeds the entry limit.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_WIRE_H
#define BORAGEBRIDGE_HEALTH_HEALTH_WIRE_H

#include "boragebridge/peer_link.h"
#include "health/health_assessor.h"
#include "health/upstream_observer.h"

#include <optional>

namespace boragebridge {

inline constexpr auto HealthStatusesKind =
    messageKind(MessageFamily::Health, 1);
inline constexpr auto ObservationsKind = messageKind(MessageFamily::Health, 2);
inline constexpr auto HealthStatusRequestKind =
    messageKind(MessageFamily::Health, 3);
/// Statuses that answer a HealthStatusRequest; an empty page is the last one.
inline constexpr auto HealthStatusPageKind =
    messageKind(MessageFamily::Health, 4);

/// Maximum number of entries in one message.
inline constexpr std::size_t HealthEntryLimit = 64;

/// The health status of one upstream.
struct HealthStatusEntry {
  UpstreamId Upstream{};
  HealthStatus Content;
};

/// An observation of one upstream.
struct ObservationEntry {
  UpstreamId Upstream{};
  Observation Content;
};

auto encodeHealthStatuses(const std::vector<HealthStatusEntry> &all) -> Bytes;
auto decodeHealthStatuses(ByteView body)
    -> std::optional<std::vector<HealthStatusEntry>>;
auto encodeObservations(const std::vector<ObservationEntry> &all) -> Bytes;
auto decodeObservations(ByteView body)
    -> std::optional<std::vector<ObservationEntry>>;
/// Encodes a request for the statuses of upstreams whose identifiers are above
/// \p after.
auto encodeHealthStatusRequest(UpstreamId after) -> Bytes;
auto decodeHealthStatusRequest(ByteView body) -> std::optional<UpstreamId>;

/// Payloads of Probe and Report packets.
auto encodeProbe(std::uint64_t sequence) -> Bytes;
auto decodeProbe(ByteView body) -> std::optional<std::uint64_t>;
auto encodeReport(const UpstreamReport &r) -> Bytes;
auto decodeReport(ByteView body) -> std::optional<UpstreamReport>;

} // namespace boragebridge

#endif
