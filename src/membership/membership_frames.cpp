// The frames of other instances that MembershipController takes.
#include "membership/membership_controller.h"

#include "membership/membership_events.h"

namespace boragebridge {

/// Relayed probes that are remembered at once.
static constexpr std::size_t RelayedLimit = 64;

auto MembershipController::onPeerFrame(const PeerFrame &f) -> bool {
  static constexpr std::array<Handler, 8> Handlers{
      &MembershipController::onPing,
      &MembershipController::onAck,
      &MembershipController::onProbeRequest,
      &MembershipController::onGossip,
      &MembershipController::onJoin,
      &MembershipController::onView,
      &MembershipController::onSync,
      &MembershipController::onSyncAnswer};
  const auto number = static_cast<std::size_t>(f.Kind & 0xFFU);
  MembershipMessage m;
  if (number == 0 || number > Handlers.size() || !decodeMembership(f.Body, m))
    return false;
  for (const auto &it : m.Updates)
    learn(it);
  correctSender(f);
  return (this->*Handlers[number - 1])(f, m);
}

/// A sender that is believed dead, or of another start, has to hear it, so
/// that it can refute.
auto MembershipController::correctSender(const PeerFrame &f) -> void {
  const auto *it = Table.find(f.Sender);
  if (it == nullptr || f.Sender == Ctx.Self.Id)
    return;
  const auto &known = it->News.About;
  if (known.Number == f.SenderIncarnation &&
      (known.State == MemberState::Alive ||
       known.State == MemberState::Leaving))
    return;
  MembershipMessage news;
  news.Updates.push_back(it->News);
  send(f.SenderAddress, MembershipKind::Gossip, news);
}

auto MembershipController::onPing(const PeerFrame &f,
                                  const MembershipMessage &m) -> bool {
  send(f.SenderAddress, MembershipKind::Ack, makeMessage(m.Nonce));
  noteDigest(m.Digest, f.SenderAddress);
  return true;
}

auto MembershipController::onAck(const PeerFrame &, const MembershipMessage &m)
    -> bool {
  if (m.Nonce == 0)
    return true;
  if (m.Nonce == Current.Nonce)
    Current.Answered = true;
  auto it = std::find_if(Relayed.begin(), Relayed.end(),
                         [&](const auto &r) { return r.Nonce == m.Nonce; });
  if (it == Relayed.end())
    return true;
  send(it->Origin, MembershipKind::Ack, makeMessage(it->OriginNonce));
  Relayed.erase(it);
  return true;
}

auto MembershipController::onProbeRequest(const PeerFrame &f,
                                          const MembershipMessage &m) -> bool {
  Relayed.push_back({++LastNonce, m.Nonce, f.SenderAddress});
  if (Relayed.size() > RelayedLimit)
    Relayed.pop_front();
  send(m.Target, MembershipKind::Ping, makeMessage(LastNonce));
  return true;
}

auto MembershipController::onGossip(const PeerFrame &,
                                    const MembershipMessage &) -> bool {
  return true;
}

auto MembershipController::onJoin(const PeerFrame &f, const MembershipMessage &)
    -> bool {
  Joined = true;
  sendView(f.SenderAddress, MembershipKind::View, {});
  return true;
}

auto MembershipController::onView(const PeerFrame &, const MembershipMessage &)
    -> bool {
  Joined = true;
  return true;
}

auto MembershipController::onSync(const PeerFrame &f,
                                  const MembershipMessage &m) -> bool {
  if (m.Buckets.empty())
    return false;
  sendView(f.SenderAddress, MembershipKind::SyncAnswer, m.Buckets);
  return true;
}

auto MembershipController::onSyncAnswer(const PeerFrame &f,
                                        const MembershipMessage &m) -> bool {
  if (m.Buckets.empty())
    return false;
  sendView(f.SenderAddress, MembershipKind::View, m.Buckets);
  return true;
}

} // namespace boragebridge
