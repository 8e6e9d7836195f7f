/// \file
/// Finds out whether the store answers this instance. A parent that cannot
/// confirm its view leaves two cases open: only the parent has lost the store,
/// or nobody reaches it. In the second case, every instance would ask the store
/// for every prefix again and again. The probe asks for all of them, by cheap
/// calls at a bounded rate.
///
/// Example:
/// \code
///   probe.ask([](bool isAnswered) { ... });
/// \endcode
///
/// Does no I/O of its own. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_STORE_PROBE_H
#define BORAGEBRIDGE_STORE_STORE_PROBE_H

#include "boragebridge/clock.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace boragebridge {

class StoreProbe {
public:
  using Result = std::function<void(bool isAnswered)>;
  /// Makes one cheap call to the store. Calls back exactly once, within about a
  /// second, and never within the call itself.
  using Send = std::function<void(Result)>;

  /// \p time outlives the object. Two calls are at least \p interval apart, and
  /// a result is valid for \p interval. With an empty \p send, the store is
  /// assumed to answer.
  StoreProbe(const Clock &time, Send send, Duration interval)
      : Time(time), SendProbe(std::move(send)), Interval(interval) {}
  StoreProbe(const StoreProbe &) = delete;
  auto operator=(const StoreProbe &) -> StoreProbe & = delete;
  ~StoreProbe() = default;

  /// Calls \p f with the result of the last call if it is recent, else with
  /// that of the open call or of a new one.
  auto ask(Result f) -> void;

private:
  auto onResult(bool isAnswered) -> void;

  const Clock &Time;
  Send SendProbe;
  Duration Interval;
  /// When the last call started; unset before the first one.
  std::optional<TimePoint> LastSent;
  bool IsOpen = false;
  bool LastResult = false;
  std::vector<Result> Waiting;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
