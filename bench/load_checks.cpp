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

/// Largest by mean; 0 when there is nothing.
static auto largestByMean(const std::vector<double> &all) -> double {
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
    out.Requests = std::max(out.Requests, largestByMean(use.Work));
    out.Flows = std::max(out.Flows, largestByMean(use.Flows));
  }
  return out;
}

namespace {

/// A count of the stand-in that has to stay zero.
struct CountedPromise {
  std::string_view Field;
  std::string_view Promise;
};

constexpr std::array CountedPromises{
    CountedPromise{"misdelivered", "no packet reaches another service"},
    CountedPromise{"over_limit", "no upstream gets more than its limits"},
    CountedPromise{"cold_over_limit",
                   "no cold upstream gets more than it can bear"},
    CountedPromise{"falls", "no cold upstream falls over"},
    CountedPromise{"packets_after_withdrawal",
                   "no packet to a withdrawn data centre after 5 s"},
    CountedPromise{"new_work_after_leave",
                   "no new work to a leaving upstream after 5 s"},
};

/// How often each numbered body was run.
using RunCounts = std::unordered_map<std::uint64_t, std::uint64_t>;

auto countRuns(const std::string &ran) -> RunCounts {
  RunCounts out;
  boost::system::error_code ec;
  auto v = json::parse(ran, ec);
  if (!ec && v.is_array())
    for (const auto &it : v.as_array())
      ++out[it.to_number<std::uint64_t>()];
  return out;
}

} // namespace

static auto checkRuns(const RunCounts &runs, const OutcomeTable &ended,
                      std::vector<PromiseCheck> &out) -> void {
  PromiseCheck once{"no request that may not be repeated runs twice", 0};
  PromiseCheck truth{"no request that was refused as not run has run", 0};
  PromiseCheck answered{"each answered request has run", 0};
  for (const auto &[number, n] : runs)
    once.Breaches += n > 1 ? 1 : 0;
  for (const auto &[number, kind] : ended) {
    const bool hasRun = runs.contains(number);
    if (kind == OutcomeKind::RefusedNotRun && hasRun)
      ++truth.Breaches;
    if (kind == OutcomeKind::Answered && !hasRun)
      ++answered.Breaches;
  }
  out.push_back(once);
  out.push_back(truth);
  out.push_back(answered);
}

/// Phases in which requests were sent and none was answered.
static auto checkAnswered(const std::vector<Phase> &phases) -> PromiseCheck {
  constexpr auto ShortPhase = std::chrono::seconds(5);
  PromiseCheck out{"requests are answered in every phase", 0};
  for (const auto &it : phases)
    if (it.Length >= ShortPhase && it.Requests.Submitted > 0 &&
        it.Requests.Outcomes[0] == 0)
      ++out.Breaches;
  return out;
}

auto checkPromises(const std::string &state, const std::string &ran,
                   const OutcomeTable &ended, const std::vector<Phase> &phases)
    -> std::vector<PromiseCheck> {
  PromiseCheck broken{"no flow breaks, but those of a withdrawn data centre",
                      0};
  PromiseCheck wrong{"every answer is whole and to the request asked", 0};
  for (const auto &it : phases) {
    broken.Breaches += it.Flows.broken();
    wrong.Breaches += it.Requests.WrongAnswers;
  }
  std::vector<PromiseCheck> out{broken, wrong, checkAnswered(phases)};
  const auto root = parseObject(state);
  for (const auto &it : CountedPromises) {
    PromiseCheck c{std::string(it.Promise), 0};
    for (const auto &[name, v] : root)
      c.Breaches += static_cast<std::uint64_t>(numberOf(v, it.Field));
    out.push_back(c);
  }
  checkRuns(countRuns(ran), ended, out);
  if (root.empty())
    out.push_back({"the upstream stand-in tells its state", 1});
  return out;
}

} // namespace boragebridge::bench
