/// \file
/// Counters, gauges and distributions in one registry.
///
/// Example:
/// \code
///   Counter &relayed = registry.counter("flow_relayed_packets_total",
///                                       "Packets relayed to a slot's home");
///   relayed.add();
/// \endcode
///
/// A returned reference is valid for the lifetime of the registry. Not
/// thread-safe: all calls come from the instance's own thread.
#ifndef BORAGEBRIDGE_METRICS_H
#define BORAGEBRIDGE_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace boragebridge {

/// A count that never decreases.
class Counter {
public:
  auto add(std::uint64_t n = 1) -> void { Total += n; }
  auto value() const -> std::uint64_t { return Total; }

private:
  std::uint64_t Total = 0;
};

/// A value that can increase and decrease.
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
  /// The estimated quantile \p q, which must be 0.5, 0.99 or 0.999. Returns 0
  /// if no value was recorded.
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

  /// The metric called \p name, created on first use. Names are lower-case with
  /// underscores and include the unit, as Prometheus recommends.
  auto counter(const std::string &name, const std::string &help) -> Counter &;
  auto gauge(const std::string &name, const std::string &help) -> Gauge &;
  auto distribution(const std::string &name, const std::string &help)
      -> Distribution &;
  /// Sets counter \p name to \p total, which is counted elsewhere.
  /// Precondition: \p total is not below the counter's value.
  auto setTotal(const std::string &name, const std::string &help,
                std::uint64_t total) -> void;
  /// All metrics in the Prometheus text format.
  auto renderText() const -> std::string;
  /// The value of counter \p name; 0 if there is no such counter.
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
