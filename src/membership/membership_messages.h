/// \file
/// Messages of the membership protocol and their encoding.
#ifndef BORAGEBRIDGE_MEMBERSHIP_MEMBERSHIP_MESSAGES_H
#define BORAGEBRIDGE_MEMBERSHIP_MEMBERSHIP_MESSAGES_H

#include "membership/member_table.h"

namespace boragebridge {

/// Numbers of the messages within MessageFamily::Membership.
enum class MembershipKind : std::uint8_t {
  Ping = 1,
  Ack = 2,
  ProbeRequest = 3, ///< Asks the receiver to ping Target.
  Gossip = 4,
  Join = 5, ///< Asks for a View of all members.
  View = 6,
  Sync = 7, ///< Bucket digests of the sender; asks for what differs.
  SyncAnswer = 8,
};

/// The content of a membership message of any kind.
struct MembershipMessage {
  /// Pairs a probe with its answer; 0 for a message without a probe.
  std::uint32_t Nonce = 0;
  Endpoint Target;
  std::uint64_t Digest = 0;
  std::vector<std::uint64_t> Buckets;
  std::vector<MemberUpdate> Updates;
};

/// Encodes \p m as a FlatBuffers message.
auto encodeMembership(const MembershipMessage &m) -> Bytes;
/// Decodes \p body into \p m. Returns false if \p body does not verify or a
/// value is out of range.
auto decodeMembership(ByteView body, MembershipMessage &m) -> bool;

} // namespace boragebridge

#endif
