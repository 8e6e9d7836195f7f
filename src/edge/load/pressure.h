/// \file
/// Whether a service is under pressure: whether enough of its requests are
/// refused, or answered late, that its upstreams cannot serve all callers well.
/// Below pressure, nothing that depends on it takes effect.
///
/// Each instance decides for itself, from the requests that it forwarded. Free
/// of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_LOAD_PRESSURE_H
#define BORAGEBRIDGE_EDGE_LOAD_PRESSURE_H

#include "boragebridge/types.h"

namespace boragebridge {

struct PressureOptions {
  /// Time in which a request's weight decays to 1/e.
  Duration Window = std::chrono::milliseconds(1000);
  /// Pressure begins when more than this share of the requests was refused or
  /// late, and their decayed number is at least MinMissed.
  double BeginShare = 0.1;
  double MinMissed = 3;
  /// Pressure ends when less than this share was, for EndTime.
  double EndShare = 0.03;
  Duration EndTime = std::chrono::seconds(2);
};

class Pressure {
public:
  explicit Pressure(PressureOptions opt = {}) : Options(opt) {}

  /// A request was answered in time.
  auto onMet(TimePoint now) -> void { record(0, now); }
  /// A request was refused, turned away or answered late.
  auto onMissed(TimePoint now) -> void { record(1, now); }

  /// Pressure that is on does not end before EndTime from now.
  auto hold(TimePoint now) -> void { HighAt = now; }

  auto isOn() const -> bool { return On; }
  /// Share of the recent requests that were refused, turned away or late.
  auto missedShare() const -> double {
    return Requests > 0 ? Missed / Requests : 0;
  }
  /// Ends the pressure if no request was counted for long. Call about once per
  /// second.
  auto tick(TimePoint now) -> void;

private:
  auto record(double failures, TimePoint now) -> void;
  auto decay(TimePoint now) -> void;
  auto decide(TimePoint now) -> void;

  PressureOptions Options;
  double Requests = 0;
  double Missed = 0;
  TimePoint DecayedAt;
  /// When the share of failures was last above EndShare.
  TimePoint HighAt;
  bool On = false;
};

} // namespace boragebridge

#endif
