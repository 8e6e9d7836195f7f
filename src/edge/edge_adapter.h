/// \file
/// Interfaces to the platform that the edge runs on: the encoding of callers'
/// packets and of the records in the store. Implementations only translate;
/// they make no decisions.
///
/// Implementations are stateless after construction and used by one thread.
#ifndef BORAGEBRIDGE_EDGE_EDGE_ADAPTER_H
#define BORAGEBRIDGE_EDGE_EDGE_ADAPTER_H

#include "boragebridge/platform_client.h"
#include "edge/configuration_text.h"
#include "edge/flow_packet.h"
#include "edge/records.h"

#include <array>

namespace boragebridge {

/// The packet format of callers and upstreams.
class PacketFormat {
public:
  /// Maximum size of a reset, in bytes.
  static constexpr std::size_t MaxResetBytes = 64;
  using ResetBuffer = std::array<std::byte, MaxResetBytes>;

  PacketFormat() = default;
  PacketFormat(const PacketFormat &) = delete;
  auto operator=(const PacketFormat &) -> PacketFormat & = delete;
  virtual ~PacketFormat() = default;

  /// Reads the header of \p datagram into \p out. Returns false if \p datagram
  /// is not a packet of a caller.
  virtual auto decode(ByteView datagram, FlowPacket &out) const -> bool = 0;
  /// Writes \p tag into the packet and the identity \p wireId of the upstream
  /// in front of it. Returns the bytes to send: \p datagram and some of the
  /// bytes before it. Precondition: decode() accepted \p datagram, and the
  /// DatagramSocket::Headroom bytes before it are writable.
  virtual auto encapsulate(std::span<std::byte> datagram, UpstreamTag tag,
                           std::uint64_t wireId) const
      -> std::span<std::byte> = 0;
  /// Writes a reset of the flow of \p p to \p buf. Returns the bytes written.
  virtual auto makeReset(const FlowPacket &p, ResetBuffer &buf) const
      -> std::span<std::byte> = 0;
  /// The longest answer, in bytes, that an upstream refuses a request with;
  /// every other answer is longer.
  virtual auto maxRefusalBytes() const -> std::uint32_t = 0;
  /// How long a caller may wait before it acknowledges an answer that fits into
  /// one packet, and the size of such an answer, in bytes.
  virtual auto maxAckDelay() const -> Duration = 0;
  virtual auto singlePacketBytes() const -> std::uint32_t = 0;
  /// The address that packets for \p caller are sent to.
  virtual auto callerAddress(const Endpoint &caller) const -> Endpoint = 0;
};

/// The format of the store's records, and the prefixes of their keys.
class RecordFormat {
public:
  RecordFormat() = default;
  RecordFormat(const RecordFormat &) = delete;
  auto operator=(const RecordFormat &) -> RecordFormat & = delete;
  virtual ~RecordFormat() = default;

  virtual auto upstreamPrefix() const -> std::string = 0;
  virtual auto configurationPrefix() const -> std::string = 0;
  virtual auto withdrawalPrefix() const -> std::string = 0;
  virtual auto memberPrefix() const -> std::string = 0;

  /// InvalidArgument, with the reason, for a record that cannot be used.
  virtual auto decodeUpstream(const StoredObject &o) const
      -> absl::StatusOr<UpstreamRecord> = 0;
  /// Splits the configuration \p o, which outlives the result, into parts that
  /// are decoded one by one. InvalidArgument as for decodeUpstream(). NotFound
  /// for an object under the prefix that is not the configuration.
  virtual auto splitConfiguration(const StoredObject &o) const
      -> absl::StatusOr<ConfigurationText> = 0;
  /// The configuration without its routes and services.
  virtual auto decodeConfigurationHead(const std::string &text) const
      -> absl::StatusOr<EdgeConfiguration> = 0;
  virtual auto decodeRoute(const std::string &text) const
      -> absl::StatusOr<RouteRecord> = 0;
  virtual auto decodeService(const std::string &text) const
      -> absl::StatusOr<ServiceRecord> = 0;
};

/// The part of \p key that follows \p prefix.
inline auto nameInKey(const std::string &key, const std::string &prefix)
    -> std::string {
  return key.substr(std::min(prefix.size(), key.size()));
}

} // namespace boragebridge

#endif
