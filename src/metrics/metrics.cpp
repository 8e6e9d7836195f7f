#include "boragebridge/metrics.h"

// Boost 1.81 uses std::ostringstream without including its header.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace boragebridge {

namespace acc = boost::accumulators;

static constexpr std::array<double, 3> Quantiles{0.5, 0.99, 0.999};

struct Distribution::Impl {
  acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                         acc::tag::extended_p_square_quantile>>
      Values{acc::extended_p_square_probabilities = Quantiles};
};

Distribution::Distribution() : State(std::make_unique<Impl>()) {}
Distribution::~Distribution() = default;

auto Distribution::record(double v) -> void { State->Values(v); }

auto Distribution::count() const -> std::uint64_t {
  return acc::count(State->Values);
}

auto Distribution::mean() const -> double {
  return count() == 0 ? 0 : acc::mean(State->Values);
}

auto Distribution::maximum() const -> double {
  return count() == 0 ? 0 : acc::max(State->Values);
}

auto Distribution::quantile(double q) const -> double {
  if (count() == 0)
    return 0;
  return acc::quantile(State->Values, acc::quantile_probability = q);
}

/// Returns the metric called \p name in \p all, created on first use.
template <typename Map>
static auto findOrCreate(Map &all, const std::string &name,
                         const std::string &help) -> auto & {
  auto &entry = all[name];
  if (entry.Metric == nullptr) {
    using Metric = typename decltype(entry.Metric)::element_type;
    entry.Help = help;
    entry.Metric = std::make_unique<Metric>();
  }
  return *entry.Metric;
}

auto MetricRegistry::counter(const std::string &name, const std::string &help)
    -> Counter & {
  return findOrCreate(Counters, name, help);
}

auto MetricRegistry::gauge(const std::string &name, const std::string &help)
    -> Gauge & {
  return findOrCreate(Gauges, name, help);
}

auto MetricRegistry::distribution(const std::string &name,
                                  const std::string &help) -> Distribution & {
  return findOrCreate(Distributions, name, help);
}

auto MetricRegistry::counterValue(const std::string &name) const
    -> std::uint64_t {
  auto it = Counters.find(name);
  return it == Counters.end() ? 0 : it->second.Metric->value();
}

static auto writeHeader(std::ostream &out, const std::string &name,
                        const std::string &help, const char *type) -> void {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type
      << '\n';
}

auto MetricRegistry::setTotal(const std::string &name, const std::string &help,
                              std::uint64_t total) -> void {
  auto &c = counter(name, help);
  c.add(total - c.value());
}

auto MetricRegistry::renderText() const -> std::string {
  std::ostringstream out;
  for (const auto &[name, it] : Counters) {
    writeHeader(out, name, it.Help, "counter");
    out << name << ' ' << it.Metric->value() << '\n';
  }
  for (const auto &[name, it] : Gauges) {
    writeHeader(out, name, it.Help, "gauge");
    out << name << ' ' << it.Metric->value() << '\n';
  }
  for (const auto &[name, it] : Distributions) {
    writeHeader(out, name, it.Help, "summary");
    for (auto q : Quantiles)
      out << name << "{quantile=\"" << q << "\"} " << it.Metric->quantile(q)
          << '\n';
    const auto n = it.Metric->count();
    out << name << "_sum " << it.Metric->mean() * static_cast<double>(n) << '\n'
        << name << "_count " << n << '\n';
  }
  return out.str();
}

} // namespace boragebridge
