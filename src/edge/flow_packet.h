/// \file
/// The header of a caller's packet, as the edge decides on it. The adapter of
/// the wire decodes it; the data behind it is never looked at.
#ifndef BORAGEBRIDGE_EDGE_FLOW_PACKET_H
#define BORAGEBRIDGE_EDGE_FLOW_PACKET_H

#include "edge/upstream_tag.h"

namespace boragebridge {

/// A plain value; safe from any thread.
struct FlowPacket {
  FlowKey Flow;
  /// The packet opens the flow, or is a copy of the one that did.
  bool Opens = false;
  bool Acknowledges = false;
  bool Finishes = false;
  bool Resets = false;
  /// Position of the first data byte.
  std::uint32_t Sequence = 0;
  /// The next byte expected from the upstream. In a packet that opens a flow:
  /// how many copies of it came before.
  std::uint32_t Acknowledged = 0;
  UpstreamTag Tag = UpstreamTag::None;
  /// Bytes of data.
  std::uint16_t Length = 0;
};

} // namespace boragebridge

#endif
