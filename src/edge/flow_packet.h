/// \file
/// The header of a caller's packet, as far as the edge needs it. The platform's
/// PacketFormat decodes it; the payload is never read.
#ifndef BORAGEBRIDGE_EDGE_FLOW_PACKET_H
#define BORAGEBRIDGE_EDGE_FLOW_PACKET_H

#include "edge/upstream_tag.h"

namespace boragebridge {

/// A plain value; safe to use from any thread.
struct FlowPacket {
  FlowKey Flow;
  /// The packet opens the flow, or retransmits the packet that did.
  bool Opens = false;
  bool Acknowledges = false;
  bool Finishes = false;
  bool Resets = false;
  /// Sequence number of the first data byte.
  std::uint32_t Sequence = 0;
  /// Sequence number of the next byte expected from the upstream. In an opening
  /// packet: how many times it was sent before.
  std::uint32_t Acknowledged = 0;
  UpstreamTag Tag = UpstreamTag::None;
  /// Number of data bytes.
  std::uint16_t Length = 0;

  /// Whether this opening packet was sent before. Precondition: Opens.
  auto isRetransmittedOpening() const -> bool { return Acknowledged > 0; }
};

} // namespace boragebridge

#endif
