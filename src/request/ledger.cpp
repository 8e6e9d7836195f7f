#include "request/ledger.h"

namespace boragebridge {

namespace {

/// Bytes of a kept answer besides its body, as counted for the byte limit.
constexpr std::size_t AnswerOverhead = 96;

} // namespace

Ledger::Ledger(InstanceId owner, Incarnation inc, RandomSource &random,
               TimePoint now, LedgerLimits opt)
    : Owner(owner), OwnerIncarnation(inc), Limits(opt), Sealer(random),
      Started(now), NextRotation(now + opt.KeyRotation), EpochStarts{0} {}

Ledger::Ledger(Incarnation inc, std::deque<TicketKey> keys, TicketWindow window,
               TimePoint now, LedgerLimits opt)
    : OwnerIncarnation(inc), Inherited(true), Limits(opt),
      Sealer(std::move(keys)), Window(std::move(window)), Started(now) {}

auto Ledger::issue(CallerId caller) -> IssuedTicket {
  const TicketFields f{Owner, OwnerIncarnation, caller, Window.issue(), 0};
  return {requestNumber(f), Sealer.seal(f)};
}

auto Ledger::statusOf(ByteView sealed, const TicketFields &f, CallerId caller,
                      std::uint64_t number) const -> RequestStatus {
  if (f.OwnerIncarnation != OwnerIncarnation || f.Caller != caller ||
      requestNumber(f) != number)
    return RequestStatus::Forged;
  if (Sealer.isForgotten(f.Epoch))
    return RequestStatus::Forgotten;
  if (!Sealer.isGenuine(sealed, f))
    return RequestStatus::Forged;
  if (!Window.contains(f.Sequence))
    return RequestStatus::Forgotten;
  switch (Window.state(f.Sequence)) {
  case TicketState::NotRun:
    return RequestStatus::NotRun;
  case TicketState::MayHaveRun:
    return RequestStatus::MayHaveRun;
  case TicketState::HasRun:
    return BySequence.contains(f.Sequence) ? RequestStatus::Answered
                                           : RequestStatus::HasRun;
  case TicketState::Unused:
    break;
  }
  const auto usable = !Inherited && Sealer.isUsable(f.Epoch);
  return usable ? RequestStatus::MayStart : RequestStatus::Expired;
}

auto Ledger::closeNotRun(std::uint64_t seq) -> void {
  if (Window.contains(seq) && Window.state(seq) == TicketState::Unused)
    Window.set(seq, TicketState::NotRun);
}

auto Ledger::markSent(std::uint64_t seq) -> bool {
  if (Inherited || !Window.contains(seq) ||
      Window.state(seq) != TicketState::Unused)
    return false;
  Window.set(seq, TicketState::MayHaveRun);
  return true;
}

auto Ledger::unmarkSent(std::uint64_t seq) -> void {
  if (Window.contains(seq) && Window.state(seq) == TicketState::MayHaveRun)
    Window.set(seq, TicketState::Unused);
}

auto Ledger::markRun(std::uint64_t seq) -> void {
  if (Window.contains(seq))
    Window.set(seq, TicketState::HasRun);
}

auto Ledger::keepAnswer(std::uint64_t seq, std::uint64_t requestDigest,
                        std::shared_ptr<const Bytes> body, TimePoint now)
    -> void {
  markRun(seq);
  if (BySequence.contains(seq))
    return;
  KeptBytes += body->size() + AnswerOverhead;
  Kept.push_back({seq, requestDigest, now, std::move(body)});
  BySequence[seq] = std::prev(Kept.end());
  while (KeptBytes > Limits.MaxAnswerBytes || Kept.size() > Limits.MaxAnswers)
    dropOldest();
}

auto Ledger::answer(std::uint64_t seq) const -> const KeptAnswer * {
  auto it = BySequence.find(seq);
  return it == BySequence.end() ? nullptr : &*it->second;
}

auto Ledger::dropOldest() -> void {
  KeptBytes -= Kept.front().Body->size() + AnswerOverhead;
  BySequence.erase(Kept.front().Sequence);
  Kept.pop_front();
}

auto Ledger::tick(TimePoint now, RandomSource &random) -> void {
  while (!Kept.empty() && Kept.front().Finished + Limits.AnswerRetention <= now)
    dropOldest();
  if (Inherited || now < NextRotation)
    return;
  NextRotation = now + Limits.KeyRotation;
  Sealer.rotate(random);
  EpochStarts.push_back(Window.end());
  if (EpochStarts.size() > TicketSealer::KeptEpochs)
    EpochStarts.pop_front();
  Window.forgetBelow(EpochStarts.front());
}

auto Ledger::isStale(TimePoint now) const -> bool {
  return Inherited &&
         now > Started + Limits.KeyRotation *
                             static_cast<int>(TicketSealer::UsableEpochs);
}

} // namespace boragebridge
