/// \file
/// What the edge asks of the platform that it runs on: how a caller's packet
/// and the records of the store are spelled. Strategies that translate and
/// decide nothing.
///
/// Implementations are stateless after construction and used by one thread.
#ifndef BORAGEBRIDGE_EDGE_EDGE_ADAPTER_H
#define BORAGEBRIDGE_EDGE_EDGE_ADAPTER_H

#include "boragebridge/platform_client.h"
#include "edge/flow_packet.h"
#include "edge/records.h"

#include <array>

namespace boragebridge {

/// The wire of callers and upstreams.
class PacketFormat {
public:
  /// Longest reset, in bytes.
  static constexpr std::size_t MaxResetBytes = 64;
  using ResetBuffer = std::array<std::byte, MaxResetBytes>;

  PacketFormat() = default;
  PacketFormat(const PacketFormat &) = delete;
  auto operator=(const PacketFormat &) -> PacketFormat & = delete;
  virtual ~PacketFormat() = default;

  /// Reads the header of \p datagram into \p out; false when it is no packet
  /// of a caller.
  virtual auto decode(ByteView datagram, FlowPacket &out) const -> bool = 0;
  /// Writes \p tag into the packet and the name of the upstream of \p wireId in
  /// front of it. Returns what is to be sent: \p datagram and some of the bytes
  /// before it. Precondition: decode() took \p datagram, and
  /// DatagramSocket::Headroom bytes before it may be written.
  virtual auto encapsulate(std::span<std::byte> datagram, UpstreamTag tag,
                           std::uint64_t wireId) const
      -> std::span<std::byte> = 0;
  /// Writes the reset of the flow of \p p to \p buf; returns its bytes.
  virtual auto makeReset(const FlowPacket &p, ResetBuffer &buf) const
      -> std::span<std::byte> = 0;
  /// Where packets for \p caller are sent to.
  virtual auto callerAddress(const Endpoint &caller) const -> Endpoint = 0;
};

/// The records of the store and the prefixes of their keys.
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

  /// InvalidArgument for a record that cannot be used; it says why.
  virtual auto decodeUpstream(const StoredObject &o) const
      -> absl::StatusOr<UpstreamRecord> = 0;
  /// InvalidArgument likewise. NotFound for an object beside the configuration.
  virtual auto decodeConfiguration(const StoredObject &o) const
      -> absl::StatusOr<EdgeConfiguration> = 0;
};

/// What follows \p prefix in \p key.
inline auto nameInKey(const std::string &key, const std::string &prefix)
    -> std::string {
  return key.substr(std::min(prefix.size(), key.size()));
}

} // namespace boragebridge

#endif
