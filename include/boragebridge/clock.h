/// \file
/// Sources of the current time. The daemon uses SteadyClock; tests, benches and
/// samples use ManualClock and advance it themselves.
///
/// The clocks of two instances may differ in value and in rate. No decision
/// that affects safety may compare times of different instances.
#ifndef BORAGEBRIDGE_CLOCK_H
#define BORAGEBRIDGE_CLOCK_H

#include "boragebridge/types.h"

#include <time.h>

#include <ctime>

namespace boragebridge {

/// Source of the current time of one process.
class Clock {
public:
  Clock() = default;
  Clock(const Clock &) = delete;
  auto operator=(const Clock &) -> Clock & = delete;
  virtual ~Clock() = default;
  /// The current time, which never decreases. Safe to call from any thread.
  virtual auto now() const -> TimePoint = 0;
};

/// The machine's steady clock.
class SteadyClock final : public Clock {
public:
  auto now() const -> TimePoint override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// Like SteadyClock, but also counts the time during which the machine is
/// suspended, so that a process can detect the suspension. Linux only.
class BootClock final : public Clock {
public:
  auto now() const -> TimePoint override {
    std::timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return TimePoint(std::chrono::seconds(t.tv_sec) +
                     std::chrono::nanoseconds(t.tv_nsec));
  }
};

/// A clock that changes only through advance(). Not thread-safe.
class ManualClock final : public Clock {
public:
  auto now() const -> TimePoint override { return Current; }
  /// Advances the time by \p d. Precondition: \p d is not negative.
  auto advance(Duration d) -> void { Current += d; }

private:
  TimePoint Current{std::chrono::hours(1)};
};

} // namespace boragebridge

#endif
