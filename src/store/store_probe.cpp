#include "store/store_probe.h"

#include <utility>

namespace boragebridge {

auto StoreProbe::ask(Result f) -> void {
  if (!SendProbe)
    return f(true);
  const auto now = Time.now();
  const auto isRecent = LastSent && now - *LastSent < Interval;
  if (!IsOpen && isRecent)
    return f(LastResult);
  Waiting.push_back(std::move(f));
  if (std::exchange(IsOpen, true))
    return;
  LastSent = now;
  SendProbe([this, alive = std::weak_ptr<bool>(Alive)](bool isAnswered) {
    if (!alive.expired())
      onResult(isAnswered);
  });
}

auto StoreProbe::onResult(bool isAnswered) -> void {
  IsOpen = false;
  LastResult = isAnswered;
  for (const auto &it : std::exchange(Waiting, {}))
    it(isAnswered);
}

} // namespace boragebridge
