#include "scenario/verbs.h"

#include <algorithm>
#include <array>

namespace boragebridge::scenario {

using World = SystemWorld;
using Text = std::string;

constexpr Duration LateAnswerDelay = std::chrono::milliseconds(400);
constexpr Duration SlowStoreDelay = std::chrono::seconds(1);
constexpr Duration NormalStoreDelay = std::chrono::milliseconds(2);
constexpr double LostAnswers = 0.5;

/// Returns the parts before and after the first \p separator.
static auto split(const Text &s, char separator) -> std::pair<Text, Text> {
  const auto at = s.find(separator);
  if (at == Text::npos)
    return {s, {}};
  return {s.substr(0, at), s.substr(at + 1)};
}

static auto setPlatform(World &w, const Text &state) -> void {
  auto &p = w.platform();
  p.Down = state == "down";
  p.Delay = state == "slow" ? SlowStoreDelay : NormalStoreDelay;
  p.LostAnswerShare = state == "losing" ? LostAnswers : 0;
}

template <bool Cut> static auto setCut(World &w, const Text &pair) -> void {
  const auto [a, b] = split(pair, '/');
  w.setCut(a, b, Cut);
}

static auto setAnswers(World &w, const Text &host, const fakes::AnswerFaults &f)
    -> void {
  w.host(host).setFaults(f);
}

static auto setReports(World &w, const Text &host, const fakes::ReportFaults &f)
    -> void {
  w.host(host).setFaults(f);
}

static constexpr std::array Verbs{
    Verb{"kill", ArgumentKind::Instance,
         [](World &w, const Text &a) { w.kill(a); }},
    Verb{"pause", ArgumentKind::Instance,
         [](World &w, const Text &a) { w.pause(a); }},
    Verb{"resume", ArgumentKind::Instance,
         [](World &w, const Text &a) { w.resume(a); }},
    Verb{"leave", ArgumentKind::Instance,
         [](World &w, const Text &a) { w.leave(a); }},
    Verb{"join", ArgumentKind::NewInstance,
         [](World &w, const Text &a) {
           const auto [name, dc] = split(a, '@');
           w.join(name, dc);
         }},
    Verb{"die", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.killHost(a); }},
    Verb{"revive", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.restartHost(a); }},
    Verb{"cold", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.host(a).turnCold(w.now()); }},
    Verb{"shed", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.host(a).setShedding(true); }},
    Verb{"accept", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.host(a).setShedding(false); }},
    Verb{"silent", ArgumentKind::Upstream,
         [](World &w, const Text &a) {
           w.recordUnplannedFault();
           w.host(a).setUnresponsive(true);
         }},
    Verb{"crossed", ArgumentKind::Upstream,
         [](World &w, const Text &a) {
           w.recordUnplannedFault();
           setAnswers(w, a, {.Late = {}, .Duplicate = false, .Swapped = true});
         }},
    Verb{"late", ArgumentKind::Upstream,
         [](World &w, const Text &a) {
           setAnswers(w, a, {.Late = LateAnswerDelay});
         }},
    Verb{"doubled", ArgumentKind::Upstream,
         [](World &w, const Text &a) {
           setAnswers(w, a, {.Late = {}, .Duplicate = true});
         }},
    Verb{"prompt", ArgumentKind::Upstream,
         [](World &w, const Text &a) { setAnswers(w, a, {}); }},
    Verb{"reports_missing", ArgumentKind::Upstream,
         [](World &w, const Text &a) {
           setReports(w, a, {.Lag = {}, .Missing = true});
         }},
    Verb{"reports_full", ArgumentKind::Upstream,
         [](World &w, const Text &a) {
           fakes::ReportFaults f;
           f.ClaimsFull = true;
           setReports(w, a, f);
         }},
    Verb{"drain", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.drain(a); }},
    Verb{"activate", ArgumentKind::Upstream,
         [](World &w, const Text &a) { w.activate(a); }},
    Verb{"withdraw", ArgumentKind::DataCentre,
         [](World &w, const Text &a) { w.withdraw(a); }},
    Verb{"return", ArgumentKind::DataCentre,
         [](World &w, const Text &a) { w.returnToService(a); }},
    Verb{"import", ArgumentKind::DataCentre,
         [](World &w, const Text &a) { w.importWithNewHost(a); }},
    Verb{"partition", ArgumentKind::DataCentrePair, setCut<true>},
    Verb{"heal", ArgumentKind::DataCentrePair, setCut<false>},
    Verb{"platform", ArgumentKind::PlatformState, setPlatform},
};

auto allVerbs() -> std::span<const Verb> { return Verbs; }

auto findVerb(std::string_view name) -> const Verb * {
  const auto *it = std::find_if(Verbs.begin(), Verbs.end(),
                                [&](const Verb &v) { return v.Name == name; });
  return it == Verbs.end() ? nullptr : it;
}

auto describe(ArgumentKind kind) -> std::string_view {
  static constexpr std::array<std::string_view, 6> Words{
      "an instance",
      "a new instance as NAME@DATA-CENTRE",
      "an upstream",
      "a data centre",
      "two data centres as A/B",
      "one of up, down, slow, losing"};
  return Words.at(static_cast<std::size_t>(kind));
}

auto instancesOf(const Topology &t) -> std::vector<std::string> {
  std::vector<std::string> all;
  for (const auto &dc : t.DataCentres)
    for (std::size_t n = 0; n < t.Instances; ++n)
      all.push_back(dc + "-" + std::to_string(n));
  return all;
}

auto upstreamsOf(const Topology &t) -> std::vector<std::string> {
  std::vector<std::string> all;
  for (const auto &dc : t.DataCentres) {
    for (std::size_t n = 0; n < t.BookingHosts; ++n)
      all.push_back("booking-" + dc + "-" + std::to_string(n));
    for (std::size_t n = 0; n < t.UploadHosts; ++n)
      all.push_back("uploads-" + dc + "-" + std::to_string(n));
  }
  return all;
}

auto isValidArgument(ArgumentKind kind, const std::string &argument,
                     const Topology &t) -> bool {
  auto contains = [](const std::vector<std::string> &all, const Text &s) {
    return std::find(all.begin(), all.end(), s) != all.end();
  };
  const auto [at, atDc] = split(argument, '@');
  const auto [left, right] = split(argument, '/');
  switch (kind) {
  case ArgumentKind::Instance:
    return contains(instancesOf(t), argument);
  case ArgumentKind::NewInstance:
    return !at.empty() && contains(t.DataCentres, atDc);
  case ArgumentKind::Upstream:
    return contains(upstreamsOf(t), argument);
  case ArgumentKind::DataCentre:
    return contains(t.DataCentres, argument);
  case ArgumentKind::DataCentrePair:
    return left != right && contains(t.DataCentres, left) &&
           contains(t.DataCentres, right);
  case ArgumentKind::PlatformState:
    return contains({"up", "down", "slow", "losing"}, argument);
  }
  return false;
}

} // namespace boragebridge::scenario
