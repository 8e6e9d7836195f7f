#include "load_measures.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace boragebridge::bench {

namespace json = boost::json;

static auto toMs(Duration d) -> double {
  return std::chrono::duration<double, std::milli>(d).count();
}

static auto perSecond(std::uint64_t n, Duration d) -> double {
  const auto s = std::chrono::duration<double>(d).count();
  return s > 0 ? static_cast<double>(n) / s : 0;
}

auto quantileOf(std::vector<Duration> all, double share) -> Duration {
  if (all.empty())
    return {};
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at),
                   all.end());
  return all[at];
}

/// Returns the fewest answers in any full second of \p p.
static auto worstSecond(const Phase &p) -> std::uint64_t {
  const auto &all = p.Requests.AnsweredBySecond;
  return all.empty() ? 0 : *std::min_element(all.begin(), all.end());
}

auto printPhases(const std::vector<Phase> &phases) -> void {
  std::printf(
      "%-18s %6s | %7s %7s %7s %8s | %7s %8s %7s %7s %8s %8s %7s | %6s %6s\n",
      "phase", "s", "flows", "broken", "givenup", "answers%", "req/s",
      "answered", "refused", "unknown", "p50 ms", "p99 ms", "worst/s", "imb.rq",
      "imb.fl");
  for (const auto &it : phases) {
    const auto &f = it.Flows;
    const auto &r = it.Requests;
    const auto answered = f.PacketsSent == 0
                              ? 0
                              : 100.0 * static_cast<double>(f.PacketsAnswered) /
                                    static_cast<double>(f.PacketsSent);
    std::printf("%-18s %6.1f | %7llu %7llu %7llu %8.2f | %7.1f %8llu %7llu "
                "%7llu %8.1f %8.1f %7llu | %6.2f %6.2f\n",
                it.Name.c_str(), toMs(it.Length) / 1000,
                static_cast<unsigned long long>(f.Opened),
                static_cast<unsigned long long>(f.broken()),
                static_cast<unsigned long long>(f.EndedByWithdrawal), answered,
                perSecond(r.Outcomes[0], it.Length),
                static_cast<unsigned long long>(r.Outcomes[0]),
                static_cast<unsigned long long>(r.Outcomes[1]),
                static_cast<unsigned long long>(r.Outcomes[2]),
                toMs(quantileOf(r.Latencies, 0.5)),
                toMs(quantileOf(r.Latencies, 0.99)),
                static_cast<unsigned long long>(worstSecond(it)),
                it.Use.Requests, it.Use.Flows);
  }
}

auto printChecks(const std::vector<InvariantCheck> &checks) -> bool {
  bool allHold = true;
  for (const auto &it : checks) {
    std::cout << (it.Violations == 0 ? "kept    " : "BROKEN  ") << it.Invariant;
    if (it.Violations != 0)
      std::cout << ": " << it.Violations;
    std::cout << '\n';
    allHold = allHold && it.Violations == 0;
  }
  return allHold;
}

auto printJson(const std::vector<Phase> &phases,
               const std::vector<InvariantCheck> &checks) -> void {
  json::array parts;
  for (const auto &it : phases)
    parts.push_back(
        {{"name", it.Name},
         {"seconds", toMs(it.Length) / 1000},
         {"flows_opened", it.Flows.Opened},
         {"flows_broken", it.Flows.broken()},
         {"flows_given_up", it.Flows.EndedByWithdrawal},
         {"submitted", it.Requests.Submitted},
         {"answered", it.Requests.Outcomes[0]},
         {"refused", it.Requests.Outcomes[1]},
         {"unknown", it.Requests.Outcomes[2]},
         {"already_run", it.Requests.Outcomes[3]},
         {"p50_ms", toMs(quantileOf(it.Requests.Latencies, 0.5))},
         {"p99_ms", toMs(quantileOf(it.Requests.Latencies, 0.99))}});
  json::object violations;
  for (const auto &it : checks)
    violations[it.Invariant] = it.Violations;
  std::cout << json::serialize(
                   json::object{{"experiment", "load"},
                                {"phases", std::move(parts)},
                                {"breaches", std::move(violations)}})
            << std::endl;
}

} // namespace boragebridge::bench
