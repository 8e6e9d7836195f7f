/// \file
/// Time as the core sees it. The daemon uses SteadyClock; tests, benches and
/// samples use ManualClock and move it themselves.
///
/// Not promised: that two instances' clocks agree in value or in rate. No
/// decision about safety may compare times of different instances.
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
  /// The current time; never goes down. Safe from any thread.
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

/// Like SteadyClock, but goes on while the machine is suspended, so that a
/// process notices what it missed. Linux only.
class BootClock final : public Clock {
public:
  auto now() const -> TimePoint override {
    std::timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return TimePoint(std::chrono::seconds(t.tv_sec) +
                     std::chrono::nanoseconds(t.tv_nsec));
  }
};

/// A clock that moves only when told to. Not thread-safe.
class ManualClock final : public Clock {
public:
  auto now() const -> TimePoint override { return Current; }
  /// Moves the time on by \p d. Precondition: \p d is not negative.
  auto advance(Duration d) -> void { Current += d; }

private:
  TimePoint Current{std::chrono::hours(1)};
};

} // namespace boragebridge

#endif
