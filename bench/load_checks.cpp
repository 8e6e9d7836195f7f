#include "load_checks.h"

#include <boost/json.hpp>

#include <algorithm>

namespace boragebridge::bench {

namespace json = boost::json;

static auto parseObject(const std::string &body) -> json::object {
  boost::system::error_code ec;
  auto v = json::parse(body, ec);
  return ec || !v.is_object() ? json::object{} : v.as_object();
}

static auto numberOf(const json::value &v, std::string_view name) -> double {
  return v.at(name).to_number<double>();
}

auto parseStates(const std::string &body) -> UpstreamStates {
  constexpr double Percent = 100;
  constexpr double MicrosecondsPerSecond = 1e6;
  UpstreamStates out;
  for (const auto &[name, v] : parseObject(body)) {
    UpstreamState s;
    s.Service = json::value_to<std::string>(v.at("service"));
    s.Capacity = numberOf(v, "slots") * numberOf(v, "speed_percent") / Percent;
    s.WorkSeconds = numberOf(v, "work_done_us") / MicrosecondsPerSecond;
    s.Connections = numberOf(v, "connections");
    out[std::string(name)] = s;
  }
  return out;
}

/// Returns the maximum over the mean; 0 when the sum is not positive.
static auto maxOverMean(const std::vector<double> &all) -> double {
  double sum = 0;
  for (auto v : all)
    sum += v;
  if (sum <= 0)
    return 0;
  return *std::max_element(all.begin(), all.end()) *
         static_cast<double>(all.size()) / sum;
}

auto imbalanceBetween(const UpstreamStates &begin, const UpstreamStates &end)
    -> Imbalance {
  struct Use {
    std::vector<double> Work;
    std::vector<double> Flows;
  };
  std::map<std::string, Use> services;
  for (const auto &[name, s] : end) {
    auto it = begin.find(name);
    const auto before = it == begin.end() ? 0 : it->second.WorkSeconds;
    auto &use = services[s.Service];
    use.Work.push_back((s.WorkSeconds - before) / s.Capacity);
    use.Flows.push_back(s.Connections / s.Capacity);
  }
  Imbalance out;
  for (const auto &[name, use] : services) {
    out.Requests = std::max(out.Requests, maxOverMean(use.Work));
    out.Flows = std::max(out.Flows, maxOverMean(use.Flows));
  }
  return out;
}

namespace {

/// A counter of the stand-in that must be zero for every upstream.
struct CountedInvariant {
  std::string_view Field;
  std::string_view Invariant;
};

constexpr std::array CountedInvariants{
    CountedInvariant{"misdelivered", "no packet reaches another service"},
    CountedInvariant{"over_limit", "no upstream gets more than its limits"},
    CountedInvariant{"cold_over_limit",
                     "no cold upstream gets more than it can bear"},
    CountedInvariant{"falls", "no cold upstream falls over"},
    CountedInvariant{"packets_after_withdrawal",
                     "no packet to a withdrawn data centre after 5 s"},
    CountedInvariant{"new_work_after_leave",
                     "no new work to a leaving upstream after 5 s"},
};

/// The number of runs of each request, by request number.
using RunCounts = std::unordered_map<std::uint64_t, std::uint64_t>;

auto countRuns(const std::string &ranBody) -> RunCounts {
  RunCounts out;
  boost::system::error_code ec;
  auto v = json::parse(ranBody, ec);
  if (!ec && v.is_array())
    for (const auto &it : v.as_array())
      ++out[it.to_number<std::uint64_t>()];
  return out;
}

} // namespace

static auto checkRuns(const RunCounts &runs, const OutcomeTable &outcomes,
                      std::vector<InvariantCheck> &out) -> void {
  InvariantCheck repeatedRuns{"no request that may not be repeated runs twice",
                              0};
  InvariantCheck falseRefusals{"no request that was refused as not run has run",
                               0};
  InvariantCheck answeredNotRun{"each answered request has run", 0};
  for (const auto &[number, n] : runs)
    repeatedRuns.Violations += n > 1 ? 1 : 0;
  for (const auto &[number, kind] : outcomes) {
    const bool hasRun = runs.contains(number);
    if (kind == OutcomeKind::RefusedNotRun && hasRun)
      ++falseRefusals.Violations;
    if (kind == OutcomeKind::Answered && !hasRun)
      ++answeredNotRun.Violations;
  }
  out.push_back(repeatedRuns);
  out.push_back(falseRefusals);
  out.push_back(answeredNotRun);
}

/// Counts the phases of at least 5 s in which requests were submitted and none
/// was answered.
static auto checkAnswered(const std::vector<Phase> &phases) -> InvariantCheck {
  constexpr auto MinPhaseLength = std::chrono::seconds(5);
  InvariantCheck out{"requests are answered in every phase", 0};
  for (const auto &it : phases)
    if (it.Length >= MinPhaseLength && it.Requests.Submitted > 0 &&
        it.Requests.Outcomes[0] == 0)
      ++out.Violations;
  return out;
}

auto checkInvariants(const std::string &stateBody, const std::string &ranBody,
                     const OutcomeTable &outcomes,
                     const std::vector<Phase> &phases)
    -> std::vector<InvariantCheck> {
  InvariantCheck brokenFlows{
      "no flow breaks, but those of a withdrawn data centre", 0};
  InvariantCheck wrongAnswers{"every answer is whole and to the request asked",
                              0};
  for (const auto &it : phases) {
    brokenFlows.Violations += it.Flows.broken();
    wrongAnswers.Violations += it.Requests.WrongAnswers;
  }
  std::vector<InvariantCheck> out{brokenFlows, wrongAnswers,
                                  checkAnswered(phases)};
  const auto root = parseObject(stateBody);
  for (const auto &it : CountedInvariants) {
    InvariantCheck c{std::string(it.Invariant), 0};
    for (const auto &[name, v] : root)
      c.Violations += static_cast<std::uint64_t>(numberOf(v, it.Field));
    out.push_back(c);
  }
  checkRuns(countRuns(ranBody), outcomes, out);
  if (root.empty())
    out.push_back({"the upstream stand-in tells its state", 1});
  return out;
}

} // namespace boragebridge::bench
