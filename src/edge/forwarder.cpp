#include "edge/forwarder.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

/// Maximum number of openings that wait for an answer.
static constexpr std::size_t MaxPendingOpenings = 4096;

auto toString(EdgeReason r) -> std::string_view {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(EdgeReason::Count)>
      Names{"opened",      "opened_again", "opening_failed", "unknown_opening",
            "known",       "tagged",       "restarted",      "other_lifetime",
            "no_route",    "no_upstream",  "upstream_gone",  "upstream_dark",
            "unknown_tag", "no_tag",       "not_ready",      "stale",
            "overloaded"};
  return r < EdgeReason::Count ? Names[static_cast<std::size_t>(r)] : "unknown";
}

Forwarder::Forwarder(const UpstreamDirectory &directory,
                     UpstreamEstimates &estimates, PlacementPolicy &policy,
                     ForwarderOptions opt, LoadControl *load)
    : Directory(directory), Estimates(estimates), Policy(policy), Options(opt),
      Load(load), Flows(opt.CachedFlows), PendingOpenings(MaxPendingOpenings) {}

auto Forwarder::decide(const FlowPacket &p, TimePoint now) -> EdgeDecision {
  AnswerTime = {};
  auto d = decidePacket(p, now);
  // A reset is never answered with a reset.
  if (p.Resets && d.Action == EdgeAction::Reset)
    d.Action = EdgeAction::Drop;
  ++Counts[static_cast<std::size_t>(d.Reason)];
  return d;
}

auto Forwarder::decidePacket(const FlowPacket &p, TimePoint now)
    -> EdgeDecision {
  if (!Directory.isComplete())
    return {EdgeAction::Drop, EdgeReason::NotReady};
  if (p.Opens && LastTick != TimePoint{} &&
      now - LastTick > Options.StaleOpeningThreshold)
    return {EdgeAction::Drop, EdgeReason::Stale};
  const auto *route = Directory.route(p.Flow.Service);
  // An open flow on a route that is unknown, and was not removed, was opened by
  // an instance with a newer configuration. Its tag is enough to forward it.
  if (route == nullptr && (p.Opens || Directory.isRemovedRoute(p.Flow.Service)))
    return {EdgeAction::Reset, EdgeReason::NoRoute};
  return p.Opens ? forwardNewFlow(p, *route, now)
                 : forwardEstablished(p, route, now);
}

auto Forwarder::upstreamOf(const FlowEntry &e) const
    -> const UpstreamLifetime * {
  const auto *u = Directory.find(e.Tag);
  return u != nullptr && u->Index == e.Index ? u : nullptr;
}

auto Forwarder::findFlow(const FlowKey &key, TimePoint now) -> FlowEntry * {
  auto *e = Flows.find(key);
  if (e == nullptr ||
      now - e->SeenAt <= std::max(Directory.configuration().IdleTimeout,
                                  Options.MinFlowMemory))
    return e;
  // The caller may use the port for another flow by now, which other instances
  // may have opened.
  e->Used = false;
  return nullptr;
}

auto Forwarder::forwardNewFlow(const FlowPacket &p, const RouteRecord &route,
                               TimePoint now) -> EdgeDecision {
  auto *entry = findFlow(p.Flow, now);
  const auto isKnown = entry != nullptr && !entry->Finished &&
                       entry->FirstSequence == p.Sequence &&
                       now - entry->OpenedAt <= Options.OpeningTime;
  if (isKnown)
    return forwardRetransmission(route, *entry, now);
  if (p.isRetransmittedOpening())
    return {EdgeAction::Reset, EdgeReason::UnknownOpening};
  // The caller may have sent the opening again while this process was paused.
  const auto pick =
      Policy.pick({.Route = route, .IsRetransmission = isPaused(now)}, now);
  if (pick.Upstream == nullptr)
    return {EdgeAction::Reset, pick.Reason == PickReason::Full
                                   ? EdgeReason::Overloaded
                                   : EdgeReason::NoUpstream};
  auto &e = Flows.insert(p.Flow, now);
  e.Tag = pick.Upstream->Tag;
  e.Index = pick.Upstream->Index;
  e.FirstSequence = p.Sequence;
  e.NextSequence = p.Sequence + 1;
  awaitAnswer(e, now);
  // The request follows at once; until then it takes room as well.
  beginRequest(route, e, *pick.Upstream, now);
  return {EdgeAction::Forward, EdgeReason::Opened, pick.Upstream, pick.Reason};
}

/// Forwards a retransmitted opening packet to the upstream of the first
/// transmission, which may have the flow half open.
auto Forwarder::forwardRetransmission(const RouteRecord &route, FlowEntry &e,
                                      TimePoint now) -> EdgeDecision {
  const auto *u = upstreamOf(e);
  if (e.Open && u != nullptr)
    return {EdgeAction::Forward, EdgeReason::Known, u};
  const auto mayOpen = u != nullptr && Directory.mayOpenAsLastResort(*u, now);
  if (!mayOpen ||
      (Estimates.hasFailures(*u) && Policy.hasOther(route, *u, now))) {
    endRequest(e, now);
    e.Used = false;
    return {EdgeAction::Reset, EdgeReason::OpeningFailed, u};
  }
  e.SeenAt = now;
  e.Unanswered = false;
  awaitAnswer(e, now);
  Policy.onRetransmitted(*u, now);
  return {EdgeAction::Forward, EdgeReason::OpenedAgain, u};
}

auto Forwarder::awaitAnswer(const FlowEntry &e, TimePoint now) -> void {
  if (PendingCount == PendingOpenings.size()) {
    OldestPending = (OldestPending + 1) % PendingOpenings.size();
    --PendingCount;
  }
  PendingOpenings[(OldestPending + PendingCount) % PendingOpenings.size()] = {
      e.Flow, now, e.Tag};
  ++PendingCount;
}

/// Whether sequence number \p a comes after \p b, with wrap-around.
static auto isAfter(std::uint32_t a, std::uint32_t b) -> bool {
  return static_cast<std::int32_t>(a - b) > 0;
}

auto Forwarder::forwardEstablished(const FlowPacket &p,
                                   const RouteRecord *route, TimePoint now)
    -> EdgeDecision {
  if (p.Tag == UpstreamTag::None)
    return {EdgeAction::Drop, EdgeReason::NoTag};
  const auto *u = Directory.find(p.Tag);
  if (u == nullptr)
    return forwardUnknownTag(p, now);
  if (!Directory.mayBeRunning(*u, now)) {
    u = Directory.successor(*u, now);
    if (u == nullptr || hasEnded(*u, now))
      return {EdgeAction::Reset, EdgeReason::UpstreamGone};
    // Only an echo of its own tag shows that the successor has the flow.
    return {EdgeAction::Forward, EdgeReason::Restarted, u};
  }
  auto &e = entryOf(p, *u, now);
  const auto why = e.Open ? EdgeReason::Known : EdgeReason::Tagged;
  observe(p, route, e, *u, now);
  if (hasEnded(*u, now))
    return {EdgeAction::Reset, EdgeReason::UpstreamGone};
  if (Estimates.isUnresponsive(*u, now))
    return {EdgeAction::Reset, EdgeReason::UpstreamUnresponsive};
  return {EdgeAction::Forward, why, u};
}

/// Handles a packet with the tag of a lifetime that this instance does not
/// know. The upstream that the name part identifies may have the flow: an
/// upstream that has restarted under its name and address accepts openings that
/// carry the tag of its former lifetime, of which no record is left. An
/// upstream resets a flow that it does not have.
auto Forwarder::forwardUnknownTag(const FlowPacket &p, TimePoint now)
    -> EdgeDecision {
  const auto *u = Directory.findByName(p.Tag);
  if (u != nullptr && Directory.mayBeRunning(*u, now) && !hasEnded(*u, now))
    return {EdgeAction::Forward, EdgeReason::OtherLifetime, u};
  const auto isGone = Unknown.isOverdue(p.Tag, now) && Directory.isStable(now);
  return {isGone ? EdgeAction::Reset : EdgeAction::Drop,
          EdgeReason::UnknownTag};
}

/// Whether a flow whose next byte was to be \p next may have come to \p n.
/// Parts of a flow may come through other instances.
static auto isNear(std::uint32_t n, std::uint32_t next) -> bool {
  constexpr std::int32_t MaxGap = 1 << 20;
  const auto gap = static_cast<std::int32_t>(n - next);
  return -MaxGap < gap && gap < MaxGap;
}

/// Whether \p p, which goes to \p u, belongs to the flow of \p e, and not to a
/// later flow of the same port.
static auto belongsTo(const FlowPacket &p, const FlowEntry &e,
                      const UpstreamLifetime &u) -> bool {
  if (e.Tag != u.Tag || !isNear(p.Sequence, e.NextSequence))
    return false;
  if (!e.Open)
    return true;
  const auto isAfterEnd = e.Finished && p.Length > 0 &&
                          isAfter(p.Sequence + p.Length, e.NextSequence + 1);
  return isNear(p.Acknowledged, e.Acknowledged) && !isAfterEnd;
}

auto Forwarder::entryOf(const FlowPacket &p, const UpstreamLifetime &u,
                        TimePoint now) -> FlowEntry & {
  auto *e = findFlow(p.Flow, now);
  if (e != nullptr && belongsTo(p, *e, u))
    return *e;
  if (e != nullptr) {
    ++ReusedPorts;
    endRequest(*e, now);
  }
  return Flows.insert(p.Flow, now);
}

/// Whether \p u is gone by the records and its flows get no answer.
auto Forwarder::hasEnded(const UpstreamLifetime &u, TimePoint now) const
    -> bool {
  return Directory.isGone(u, now) && Estimates.isSilent(u, now);
}

auto Forwarder::upstreamWithFlows(UpstreamTag tag, TimePoint now) const
    -> const UpstreamLifetime * {
  const auto *u = Directory.find(tag);
  if (u == nullptr)
    return nullptr;
  const auto *running =
      Directory.mayBeRunning(*u, now) ? u : Directory.successor(*u, now);
  return running == nullptr || hasEnded(*running, now) ? nullptr : u;
}

auto Forwarder::beginRequest(const RouteRecord &route, FlowEntry &e,
                             const UpstreamLifetime &u, TimePoint now) -> void {
  if (Load == nullptr)
    return;
  e.AwaitsAnswer = true;
  e.RequestAt = now;
  Load->onSent(route, u, now);
}

auto Forwarder::endRequest(FlowEntry &e, TimePoint now) -> void {
  const auto *u = upstreamOf(e);
  if (std::exchange(e.AwaitsAnswer, false) && u != nullptr)
    Load->onEnded(*u, e.RequestAt, now);
}

auto Forwarder::observeAnswer(const FlowPacket &p, std::uint32_t bytes,
                              const RouteRecord *route, FlowEntry &e,
                              const UpstreamLifetime &u, TimePoint now)
    -> bool {
  if (p.Resets || !std::exchange(e.AwaitsAnswer, false))
    return false;
  const auto isRefused = bytes <= Options.MaxRefusalBytes;
  if (route == nullptr || isPaused(now) || e.RequestAt < ResumedAt)
    Load->onEnded(u, e.RequestAt, now);
  else if (isRefused)
    Load->onRefused(u, e.RequestAt, now);
  // The acknowledgement of a short answer may come with the next request only,
  // and does not show the response time then.
  else if (p.Length > 0)
    Load->onAnsweredBefore(*route, u, e.RequestAt, now);
  else
    Load->onAnswered(*route, u, e.RequestAt, now,
                     !p.Finishes && bytes <= Options.SinglePacketBytes
                         ? Options.MaxAckDelay
                         : Duration::zero());
  return isRefused;
}

auto Forwarder::observe(const FlowPacket &p, const RouteRecord *route,
                        FlowEntry &e, const UpstreamLifetime &u, TimePoint now)
    -> void {
  e.SeenAt = now;
  e.Finished = e.Finished || p.Finishes || p.Resets;
  if (!e.Open) {
    open(p, e, u, now);
  } else if (isAfter(p.Acknowledged, e.Acknowledged)) {
    const auto bytes = p.Acknowledged - e.Acknowledged;
    const auto isRefused = observeAnswer(p, bytes, route, e, u, now);
    e.Acknowledged = p.Acknowledged;
    Estimates.onProgress(u, now);
    // A refusal takes less time than a response.
    if (p.Finishes && !isRefused)
      Estimates.onResponse(u, now - e.SentAt);
  } else if (p.Length > 0 &&
             now - e.SentAt >= Options.MinRetransmissionInterval &&
             !isAfter(p.Sequence + p.Length, e.NextSequence)) {
    Estimates.onRetransmission(u, waitingSince(e, now), e.RetransmittedAt, now);
    e.RetransmittedAt = now;
  }
  if (p.Length > 0 && isAfter(p.Sequence + p.Length, e.NextSequence)) {
    // Data after a pause starts a new request; it does not continue the
    // previous one.
    if (e.NextSequence == p.Sequence && now - e.SentAt > Options.AnswerTimeout)
      Estimates.onRequestSent(u, now);
    e.NextSequence = p.Sequence + p.Length;
    e.SentAt = now;
    if (!e.AwaitsAnswer && route != nullptr)
      beginRequest(*route, e, u, now);
  }
}

auto Forwarder::isPaused(TimePoint now) const -> bool {
  return LastTick != TimePoint{} && now - LastTick > Options.PauseThreshold;
}

/// Since when the flow's data waits for an answer, as far as this instance can
/// tell: answers during a pause of this process went unseen.
auto Forwarder::waitingSince(const FlowEntry &e, TimePoint now) const
    -> TimePoint {
  return isPaused(now) ? now : std::max(e.SentAt, ResumedAt);
}

/// The packet echoes what \p u sent, so \p u has answered.
auto Forwarder::open(const FlowPacket &p, FlowEntry &e,
                     const UpstreamLifetime &u, TimePoint now) -> void {
  const auto sawOpening = e.FirstSequence != 0;
  if (sawOpening && !e.Unanswered)
    AnswerTime = now - e.OpenedAt;
  e.Open = true;
  e.Tag = u.Tag;
  e.Index = u.Index;
  e.Acknowledged = p.Acknowledged;
  e.NextSequence = p.Sequence;
  e.SentAt = now;
  if (AnswerTime > Duration::zero())
    Estimates.onAnswered(u, AnswerTime, now);
  else if (sawOpening)
    Estimates.onProgress(u, now);
}

auto Forwarder::tick(TimePoint now) -> void {
  if (isPaused(now)) {
    // The answers may be queued unread, or may have been dropped during the
    // pause.
    Estimates.clearFailures();
    PendingCount = 0;
    ResumedAt = now;
  }
  LastTick = now;
  while (PendingCount > 0 &&
         now - PendingOpenings[OldestPending].At >= Options.AnswerTimeout) {
    checkAnswered(PendingOpenings[OldestPending], now);
    OldestPending = (OldestPending + 1) % PendingOpenings.size();
    --PendingCount;
  }
}

auto Forwarder::checkAnswered(const PendingOpening &o, TimePoint now) -> void {
  auto *e = Flows.find(o.Flow);
  if (e == nullptr || e->Open || e->Unanswered || e->Tag != o.Tag)
    return;
  const auto *u = upstreamOf(*e);
  if (u == nullptr)
    return;
  e->Unanswered = true;
  Estimates.onUnanswered(*u, now);
}

} // namespace boragebridge
