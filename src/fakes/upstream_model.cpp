#include "fakes/upstream_model.h"

#include "boragebridge/random.h"

#include <algorithm>

namespace boragebridge::fakes {

constexpr Duration RecentWindow = std::chrono::seconds(1);
constexpr Duration ReportHistoryTime = std::chrono::seconds(30);

UpstreamModel::UpstreamModel(UpstreamOptions opt, TimePoint now)
    : Options(opt), IncarnationNumber(SeededRandom(opt.Seed).next()),
      Warmth(opt.StartsCold ? 0 : 1) {
  ReportHistory.push_back({now, currentReport()});
}

/// Adds \p now, removes times older than RecentWindow, and returns the number
/// of times left.
static auto countRecent(std::deque<TimePoint> &times, TimePoint now)
    -> std::size_t {
  while (!times.empty() && now - times.front() >= RecentWindow)
    times.pop_front();
  times.push_back(now);
  return times.size();
}

auto UpstreamModel::speed() const -> double {
  constexpr double Percent = 100;
  const auto warm = ColdSpeedShare + ((1 - ColdSpeedShare) * Warmth);
  return Options.SpeedPercent / Percent * warm;
}

auto UpstreamModel::recordPacket(TimePoint now, bool isNewWork) -> void {
  if (NoPacketsFrom && now >= *NoPacketsFrom)
    ++Counts.PacketsAfterWithdrawal;
  if (isNewWork && NoNewWorkFrom && now >= *NoNewWorkFrom)
    ++Counts.NewWorkAfterDrain;
}

auto UpstreamModel::execute(TimePoint now, const ExecuteRequest &r) -> void {
  advance(now);
  recordPacket(now, true);
  if (r.Service != Options.Service)
    ++Counts.Misdelivered;
  if (!Alive || Unresponsive)
    return;
  if (auto why = refusalFor(now, r)) {
    refuse(now, r, *why);
    return;
  }
  if (++Runs[r.Key] > 1)
    ++Counts.RepeatedRuns;
  const auto need = Duration(
      static_cast<std::int64_t>(static_cast<double>(r.Work.count()) / speed()));
  const auto inTime = r.Deadline == Duration{} || need <= r.Deadline;
  Running.push_back({r, now + (inTime ? need : r.Deadline), inTime});
}

auto UpstreamModel::refusalFor(TimePoint now, const ExecuteRequest &r)
    -> std::optional<RefusalReason> {
  if (r.Service != Options.Service)
    return RefusalReason::WrongService;
  if (CrashedUntil)
    return RefusalReason::Unavailable;
  if (Draining)
    return RefusalReason::Draining;
  if (Shedding)
    return RefusalReason::Shedding;
  if (isCold() && !Running.empty()) {
    recordColdOverload(now);
    return RefusalReason::Cold;
  }
  if (Running.size() >= Options.Slots) {
    ++Counts.OverLimit;
    return RefusalReason::Overloaded;
  }
  return std::nullopt;
}

auto UpstreamModel::refuse(TimePoint now, const ExecuteRequest &r,
                           RefusalReason why) -> void {
  ++Counts.Refused;
  emit(now, {r.Key, r.Attempt, ResultKind::Refused, why, r.Route});
}

auto UpstreamModel::cancel(TimePoint now, const ModelRequestKey &key) -> bool {
  advance(now);
  recordPacket(now, false);
  auto it = std::find_if(Running.begin(), Running.end(),
                         [&](const Work &w) { return w.Request.Key == key; });
  if (!Alive || Unresponsive || it == Running.end())
    return false;
  auto w = *it;
  Running.erase(it);
  w.End = now;
  finish(w, ResultKind::Cancelled);
  return true;
}

auto UpstreamModel::onFlow(TimePoint now, PacketKind kind, const FlowKey &flow)
    -> FlowAnswer {
  advance(now);
  const auto known = Flows.contains(flow);
  recordPacket(now, kind == PacketKind::FlowOpen && !known);
  if (flow.Service != Options.ServiceAddress)
    ++Counts.Misdelivered;
  if (!Alive || Unresponsive)
    return FlowAnswer::NoAnswer;
  if (kind == PacketKind::FlowClose || kind == PacketKind::FlowReset) {
    Flows.erase(flow);
    return FlowAnswer::Accepted;
  }
  if (known)
    return FlowAnswer::Accepted;
  return kind == PacketKind::FlowOpen ? openFlow(now, flow) : FlowAnswer::Reset;
}

auto UpstreamModel::openFlow(TimePoint now, const FlowKey &flow) -> FlowAnswer {
  if (CrashedUntil || Draining || flow.Service != Options.ServiceAddress)
    return FlowAnswer::Reset;
  if (Flows.size() >= Options.Connections) {
    ++Counts.OverLimit;
    return FlowAnswer::Reset;
  }
  if (isCold() && countRecent(RecentFlows, now) > ColdFlowsPerSecond) {
    recordColdOverload(now);
    return FlowAnswer::Reset;
  }
  Flows.insert(flow);
  addWarmth(1.0 / AnswersToWarm);
  return FlowAnswer::Accepted;
}

auto UpstreamModel::poll(TimePoint now) -> std::vector<ExecuteResult> {
  advance(now);
  std::vector<ExecuteResult> due;
  while (!Outgoing.empty() && Outgoing.begin()->first <= now) {
    due.push_back(Outgoing.begin()->second);
    Outgoing.erase(Outgoing.begin());
  }
  return due;
}

auto UpstreamModel::report(TimePoint now) -> std::optional<UpstreamReport> {
  advance(now);
  recordPacket(now, false);
  if (!Alive || Unresponsive || Reports.Missing)
    return std::nullopt;
  auto it = std::find_if(
      ReportHistory.rbegin(), ReportHistory.rend(),
      [&](const TimedReport &t) { return t.Taken + Reports.Lag <= now; });
  auto r =
      it == ReportHistory.rend() ? ReportHistory.front().Content : it->Content;
  if (Reports.ClaimsIdle || Reports.ClaimsFull) {
    r.ActiveRequests = Reports.ClaimsFull ? Options.Slots : 0;
    r.Connections = Reports.ClaimsFull ? Options.Connections : 0;
    r.Cold = Reports.ClaimsFull;
  }
  return r;
}

auto UpstreamModel::advance(TimePoint now) -> void {
  if (CrashedUntil && now >= *CrashedUntil)
    CrashedUntil.reset();
  std::sort(Running.begin(), Running.end(),
            [](const Work &a, const Work &b) { return a.End < b.End; });
  while (!Running.empty() && Running.front().End <= now) {
    const auto w = Running.front();
    Running.erase(Running.begin());
    finish(w,
           w.MeetsDeadline ? ResultKind::Answer : ResultKind::DeadlineExceeded);
  }
  if (!(ReportHistory.back().Content == currentReport()))
    ReportHistory.push_back({now, currentReport()});
  while (ReportHistory.size() > 1 &&
         now - ReportHistory[1].Taken > ReportHistoryTime)
    ReportHistory.pop_front();
}

auto UpstreamModel::finish(const Work &w, ResultKind kind) -> void {
  if (kind == ResultKind::Answer) {
    ++Counts.Answered;
    Counts.WorkDone += w.Request.Work;
    addWarmth(1.0 / AnswersToWarm);
  }
  emit(w.End, {w.Request.Key, w.Request.Attempt, kind,
               RefusalReason::Overloaded, w.Request.Route});
}

auto UpstreamModel::emit(TimePoint at, const ExecuteResult &r) -> void {
  at += Answers.Late;
  if (Answers.Swapped && !HeldForSwap) {
    HeldForSwap = r;
    return;
  }
  const auto copies = Answers.Duplicate ? 2 : 1;
  for (auto i = 0; i < copies; ++i)
    Outgoing.emplace(at, r);
  if (!HeldForSwap)
    return;
  Outgoing.emplace(at, *HeldForSwap);
  HeldForSwap.reset();
}

auto UpstreamModel::recordColdOverload(TimePoint now) -> void {
  ++Counts.ColdOverLimit;
  if (countRecent(RecentOverloads, now) >= ColdTolerance)
    crash(now);
}

auto UpstreamModel::addWarmth(double share) -> void {
  Warmth = std::min(1.0, Warmth + share);
}

auto UpstreamModel::crash(TimePoint now) -> void {
  ++Counts.Crashes;
  Running.clear();
  Flows.clear();
  RecentOverloads.clear();
  Warmth = 0;
  CrashedUntil = now + CrashRecoveryTime;
}

auto UpstreamModel::turnCold(TimePoint now) -> void {
  advance(now);
  Warmth = 0;
}

auto UpstreamModel::kill(TimePoint now) -> void {
  advance(now);
  Alive = false;
  Running.clear();
  Flows.clear();
  Outgoing.clear();
  HeldForSwap.reset();
}

auto UpstreamModel::restart(TimePoint now) -> void {
  kill(now);
  Alive = true;
  Warmth = 0;
  CrashedUntil.reset();
  IncarnationNumber = SeededRandom(IncarnationNumber).next();
}

auto UpstreamModel::currentReport() const -> UpstreamReport {
  return {Incarnation{IncarnationNumber},
          static_cast<std::uint32_t>(Running.size()),
          static_cast<std::uint32_t>(Flows.size()), isCold(), Draining};
}

auto UpstreamModel::runs(const ModelRequestKey &key) const -> std::uint64_t {
  auto it = Runs.find(key);
  return it == Runs.end() ? 0 : it->second;
}

} // namespace boragebridge::fakes
