/// \file
/// Messages between instances.
///
/// A frame names its sender's incarnation, so that a receiver can distinguish a
/// restarted peer from one that was paused. The link preserves the order of the
/// frames of one priority on one connection. Any frame may be lost.
#ifndef BORAGEBRIDGE_PEER_LINK_H
#define BORAGEBRIDGE_PEER_LINK_H

#include "boragebridge/types.h"

namespace boragebridge {

/// The high byte of a frame's kind: selects the controller that handles it.
enum class MessageFamily : std::uint8_t {
  Membership = 1,
  Configuration = 2,
  Flow = 3,
  Request = 4,
  Health = 5,
};

/// Control frames overtake data frames in every queue.
enum class Priority : std::uint8_t { Control, Data };

/// One message between two instances.
struct PeerFrame {
  InstanceId Sender{};
  Incarnation SenderIncarnation{};
  /// Where the sender accepts peer connections.
  Endpoint SenderAddress;
  /// Family in the high byte, number of the message in the low byte.
  std::uint16_t Kind = 0;
  /// A FlatBuffers message. The receiver must verify it before use.
  Bytes Body;

  auto family() const -> MessageFamily {
    return static_cast<MessageFamily>(Kind >> 8);
  }
};

/// The kind of message \p n of family \p f.
constexpr auto messageKind(MessageFamily f, std::uint8_t n) -> std::uint16_t {
  return static_cast<std::uint16_t>((static_cast<unsigned>(f) << 8) | n);
}

/// Sends messages to other instances. Implementations must not call back into
/// the instance from within a call.
class PeerLink {
public:
  PeerLink() = default;
  PeerLink(const PeerLink &) = delete;
  auto operator=(const PeerLink &) -> PeerLink & = delete;
  virtual ~PeerLink() = default;
  /// Sends message \p kind with \p body to the instance that listens at
  /// \p to. The link fills in the sender. A loss is not reported.
  virtual auto send(const Endpoint &to, std::uint16_t kind, Bytes body,
                    Priority pr = Priority::Control) -> void = 0;
};

} // namespace boragebridge

#endif
