/// \file
/// Counters, gauges and distributions behind one registry.
///
/// Example:
/// \code
///   Counter &relayed = registry.counter("flow_relayed_packets_total",
///                                       "Packets relayed to a slot's home");
///   relayed.add();
/// \endcode
///
/// A reference stays valid as long as the registry. All calls come from the
/// instance's own thread.
#ifndef BORAGEBRIDGE_METRICS_H
#define BORAGEBRIDGE_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace boragebridge {

/// A count that only rises.
class Counter {
public:
  auto add(std::uint64_t n = 1) -> void { Total += n; }
  auto value() const -> std::uint64_t { return Total; }

private:
  std::uint64_t Total = 0;
};

/// A value that goes up and down.
class Gauge {
public:
  auto set(double v) -> void { Current = v; }
  auto value() const -> double { return Current; }

private:
  double Current = 0;
};

/// A distribution with estimated quantiles (Boost.Accumulators).
class Distribution {
public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution &) = delete;
  auto operator=(const Distribution &) -> Distribution & = delete;
  auto record(double v) -> void;
  auto count() const -> std::uint64_t;
  auto mean() const -> double;
  auto maximum() const -> double;
  /// Estimate for \p q in {0.5, 0.99, 0.999}; 0 when nothing was recorded.
  auto quantile(double q) const -> double;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// All metrics of one instance, by name.
class MetricRegistry {
public:
  MetricRegistry() = default;
  MetricRegistry(const MetricRegistry &) = delete;
  auto operator=(const MetricRegistry &) -> MetricRegistry & = delete;

  /// The metric called \p name, made on first use. Names are lower-case with
  /// underscores and carry their unit, as Prometheus recommends.
  auto counter(const std::string &name, const std::string &help) -> Counter &;
  auto gauge(const std::string &name, const std::string &help) -> Gauge &;
  auto distribution(const std::string &name, const std::string &help)
      -> Distribution &;
  /// Everything in the Prometheus text form.
  auto renderText() const -> std::string;
  /// The value of counter \p name; 0 when there is none.
  auto counterValue(const std::string &name) const -> std::uint64_t;

private:
  template <typename T> struct Entry {
    std::string Help;
    std::unique_ptr<T> Metric;
  };
  std::map<std::string, Entry<Counter>> Counters;
  std::map<std::string, Entry<Gauge>> Gauges;
  std::map<std::string, Entry<Distribution>> Distributions;
};

} // namespace boragebridge

#endif
