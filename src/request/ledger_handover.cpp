#include "request/ledger_handover.h"

#include <algorithm>

namespace boragebridge {

namespace {

constexpr Duration ResendInterval = std::chrono::milliseconds(200);

auto isLive(const Member &m) -> bool { return m.State == MemberState::Alive; }

/// Returns the last part, or a new one when the last part has no room for
/// \p size more bytes. \p used counts the bytes of the last part.
auto partWithRoom(std::vector<rw::LedgerPartT> &parts, std::size_t &used,
                  std::size_t size) -> rw::LedgerPartT & {
  if (used + size > LedgerPartSize && used > 0) {
    parts.emplace_back();
    used = 0;
  }
  used += size;
  return parts.back();
}

} // namespace

auto splitLedger(const Ledger &l) -> std::vector<rw::LedgerPartT> {
  std::vector<rw::LedgerPartT> parts(1);
  for (const auto &k : l.sealer().keys())
    parts.front().keys.emplace_back(k.Epoch, k.Words[0], k.Words[1], k.Words[2],
                                    k.Words[3]);
  std::size_t used = 0;
  const auto states = l.window().packed();
  for (std::size_t at = 0; at < states.size(); at += LedgerPartSize) {
    const auto n = std::min(LedgerPartSize, states.size() - at);
    const auto from = states.begin() + static_cast<std::ptrdiff_t>(at);
    partWithRoom(parts, used, n)
        .states.assign(from, from + static_cast<std::ptrdiff_t>(n));
  }
  for (const auto &a : l.answers()) {
    if (a.Body->size() > LedgerPartSize)
      continue;
    auto r = std::make_unique<rw::RecordT>();
    r->sequence = a.Sequence;
    r->request_digest = a.RequestDigest;
    r->answer = toWire(*a.Body);
    partWithRoom(parts, used, a.Body->size()).records.push_back(std::move(r));
  }
  for (std::uint32_t n = 0; n < parts.size(); ++n) {
    parts[n].incarnation = raw(l.incarnation());
    parts[n].part = n;
    parts[n].parts = static_cast<std::uint32_t>(parts.size());
    parts[n].issued = l.window().end();
    parts[n].first = l.window().first();
  }
  return parts;
}

auto LedgerSender::begin(const std::vector<const Ledger *> &ledgers,
                         TimePoint now) -> void {
  Begun = true;
  NextSend = now;
  for (const auto *l : ledgers)
    for (const auto &part : splitLedger(*l))
      Parts[{part.incarnation, part.part}] = encode(part);
  for (const auto &[id, body] : Parts)
    Pending.insert(id);
  chooseTarget();
}

/// Keeps the target while it is live. Otherwise chooses a live instance, of
/// this data centre if there is one, and sends it all parts.
auto LedgerSender::chooseTarget() -> void {
  const auto view = Ctx.Board.Membership.read();
  if (Target) {
    const auto *m = view->find(Target->Id);
    if (m != nullptr && m->IncarnationNumber == Target->IncarnationNumber &&
        isLive(*m))
      return;
  }
  auto rank = [this](const Member &m) {
    return std::pair(m.DataCentre == Ctx.Self.DataCentre,
                     hashPair(raw(Ctx.Self.IncarnationNumber), raw(m.Id)));
  };
  const Member *best = nullptr;
  for (const auto &m : view->Members)
    if (m.Id != Ctx.Self.Id && isLive(m) &&
        (best == nullptr || rank(m) > rank(*best)))
      best = &m;
  Target.reset();
  if (best == nullptr)
    return;
  Target = InstanceIncarnation{best->Id, best->IncarnationNumber};
  TargetAddress = best->PeerAddress;
  for (const auto &[id, body] : Parts)
    Pending.insert(id);
}

auto LedgerSender::tick(TimePoint now) -> void {
  if (!Begun || Pending.empty() || now < NextSend)
    return;
  NextSend = now + ResendInterval;
  chooseTarget();
  if (!Target)
    return;
  for (const auto &id : Pending)
    Ctx.Peers.send(TargetAddress, requestKind(RequestMessage::LedgerPart),
                   Parts.at(id));
}

auto LedgerSender::onAck(const PeerFrame &f, const rw::LedgerPartAckT &m)
    -> void {
  if (Target == InstanceIncarnation{f.Sender, f.SenderIncarnation})
    Pending.erase({m.incarnation, m.part});
}

auto LedgerReceiver::add(rw::LedgerPartT m, TimePoint now)
    -> std::unique_ptr<Ledger> {
  if (m.parts == 0 || m.parts > MaxParts || m.part >= m.parts ||
      (!Partial.contains(m.incarnation) && Partial.size() >= MaxLedgers))
    return nullptr;
  const Incarnation inc{m.incarnation};
  const auto count = m.parts;
  auto &parts = Partial[m.incarnation];
  const auto index = m.part;
  parts[index] = std::move(m);
  if (parts.size() < count)
    return nullptr;
  std::deque<TicketKey> keys;
  std::vector<std::uint8_t> states;
  for (const auto &[n, part] : parts) {
    for (const auto &k : part.keys)
      keys.push_back({k.epoch(), {k.word0(), k.word1(), k.word2(), k.word3()}});
    states.insert(states.end(), part.states.begin(), part.states.end());
  }
  std::unique_ptr<Ledger> whole;
  const auto &first = parts.begin()->second;
  if (!keys.empty()) {
    TicketWindow window(first.first, first.issued, states);
    whole =
        std::make_unique<Ledger>(inc, std::move(keys), std::move(window), now);
    for (const auto &[n, part] : parts)
      for (const auto &r : part.records)
        whole->keepAnswer(r->sequence, r->request_digest,
                          std::make_shared<const Bytes>(fromWire(r->answer)),
                          now);
  }
  Partial.erase(raw(inc));
  return whole;
}

auto SuccessorAnnouncer::announce(Incarnation ledger,
                                  const InstanceIncarnation &holder) -> void {
  Announcements[ledger] = {holder, {}};
}

auto SuccessorAnnouncer::mustNotify(const Member &m,
                                    const Announcement &a) const -> bool {
  return m.Id != Ctx.Self.Id && m.Id != a.Holder.Id &&
         m.State != MemberState::Dead &&
         !a.AcknowledgedBy.contains(m.IncarnationNumber);
}

auto SuccessorAnnouncer::tick(TimePoint now) -> void {
  if (now < NextSend)
    return;
  NextSend = now + ResendInterval;
  const auto view = Ctx.Board.Membership.read();
  for (const auto &[ledger, a] : Announcements) {
    rw::SuccessorT m;
    m.incarnation = raw(ledger);
    m.holder = raw(a.Holder.Id);
    m.holder_incarnation = raw(a.Holder.IncarnationNumber);
    for (const auto &it : view->Members)
      if (mustNotify(it, a))
        Ctx.Peers.send(it.PeerAddress, requestKind(RequestMessage::Successor),
                       encode(m));
  }
}

auto SuccessorAnnouncer::onAck(const PeerFrame &f, const rw::SuccessorAckT &m)
    -> void {
  auto it = Announcements.find(Incarnation{m.incarnation});
  if (it != Announcements.end())
    it->second.AcknowledgedBy.insert(f.SenderIncarnation);
}

auto SuccessorAnnouncer::isComplete() const -> bool {
  const auto view = Ctx.Board.Membership.read();
  return std::all_of(
      Announcements.begin(), Announcements.end(), [&](const auto &v) {
        return std::none_of(view->Members.begin(), view->Members.end(),
                            [&](const Member &m) {
                              return isLive(m) && mustNotify(m, v.second);
                            });
      });
}

} // namespace boragebridge
