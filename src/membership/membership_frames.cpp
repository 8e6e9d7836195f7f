/// \file
/// Handlers of MembershipController for frames of other instances.
#include "membership/membership_controller.h"

#include "membership/membership_events.h"

namespace boragebridge {

/// Maximum number of indirect probes that wait for an answer; the oldest is
/// dropped beyond it.
static constexpr std::size_t IndirectProbeLimit = 64;

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
    applyUpdate(it);
  notifyStaleSender(f);
  return (this->*Handlers[number - 1])(f, m);
}

/// Sends the known update to a sender that is recorded as suspected, dead or
/// with another incarnation, so that the sender can refute the update.
auto MembershipController::notifyStaleSender(const PeerFrame &f) -> void {
  const auto *it = Table.find(f.Sender);
  if (it == nullptr || f.Sender == Ctx.Self.Id)
    return;
  const auto &known = it->Update.Subject;
  if (known.IncarnationNumber == f.SenderIncarnation &&
      (known.State == MemberState::Alive ||
       known.State == MemberState::Leaving))
    return;
  MembershipMessage update;
  update.Updates.push_back(it->Update);
  send(f.SenderAddress, MembershipKind::Gossip, update);
}

auto MembershipController::onPing(const PeerFrame &f,
                                  const MembershipMessage &m) -> bool {
  send(f.SenderAddress, MembershipKind::Ack, makeMessage(m.Nonce));
  compareDigest(m.Digest, f.SenderAddress);
  return true;
}

auto MembershipController::onAck(const PeerFrame &, const MembershipMessage &m)
    -> bool {
  if (m.Nonce == 0)
    return true;
  if (m.Nonce == CurrentProbe.Nonce)
    CurrentProbe.Answered = true;
  auto it = std::find_if(IndirectProbes.begin(), IndirectProbes.end(),
                         [&](const auto &r) { return r.Nonce == m.Nonce; });
  if (it == IndirectProbes.end())
    return true;
  send(it->Origin, MembershipKind::Ack, makeMessage(it->OriginNonce));
  IndirectProbes.erase(it);
  return true;
}

auto MembershipController::onProbeRequest(const PeerFrame &f,
                                          const MembershipMessage &m) -> bool {
  IndirectProbes.push_back({++LastNonce, m.Nonce, f.SenderAddress});
  if (IndirectProbes.size() > IndirectProbeLimit)
    IndirectProbes.pop_front();
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
