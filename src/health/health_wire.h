/// \file
/// Health messages to and from bytes. Every decoder verifies the body and
/// returns nothing for one that is malformed or over its limit.
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
/// Opinions that answer an OpinionRequest; none of them: the end.
inline constexpr auto HealthStatusPageKind =
    messageKind(MessageFamily::Health, 4);

/// The most entries of one message.
inline constexpr std::size_t HealthEntryLimit = 64;

/// An opinion and the upstream that it is on.
struct HealthStatusEntry {
  UpstreamId Upstream{};
  HealthStatus Content;
};

/// A sighting and the upstream that it is of.
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
/// Asks for the opinions on upstreams whose identifiers are above \p after.
auto encodeHealthStatusRequest(UpstreamId after) -> Bytes;
auto decodeHealthStatusRequest(ByteView body) -> std::optional<UpstreamId>;

/// Payloads of Probe and Report packets.
auto encodeProbe(std::uint64_t sequence) -> Bytes;
auto decodeProbe(ByteView body) -> std::optional<std::uint64_t>;
auto encodeReport(const UpstreamReport &r) -> Bytes;
auto decodeReport(ByteView body) -> std::optional<UpstreamReport>;

} // namespace boragebridge

#endif
