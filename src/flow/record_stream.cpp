#include "flow/record_stream.h"

#include <algorithm>

namespace boragebridge {

RecordStream::RecordStream(const ControllerContext &ctx, const FlowOptions &opt,
                           PeerMessenger &messenger)
    : Options(opt), Messenger(messenger), LastTick(ctx.Time.now()),
      LastFlush(LastTick),
      Sent(ctx.Metrics.counter("flow_records_sent_total",
                               "Records of flows sent to other instances")),
      Dropped(ctx.Metrics.counter(
          "flow_records_dropped_total",
          "Records not sent to the mirror because the queue was full")) {}

auto RecordStream::push(const Peer &to, ServiceId service, FlowHash flow,
                        UpstreamId u) -> void {
  if (Queued >= Options.RecordQueueLimit) {
    Dropped.add();
    return;
  }
  auto &d = Destinations[to.Id];
  d.To = to;
  d.Waiting[service].push_back({flow, u});
  ++Queued;
}

auto RecordStream::tick(TimePoint now) -> void {
  constexpr auto BatchInterval = std::chrono::milliseconds(1000);
  constexpr auto HandoverInterval = std::chrono::milliseconds(20);
  constexpr double HandoverRate = 512.0 * 1024;
  const auto rate =
      AtHandoverRate ? HandoverRate : Options.RecordBytesPerSecond;
  const auto elapsed = std::chrono::duration<double>(now - LastTick).count();
  LastTick = now;
  Budget = std::min(Budget + rate * elapsed, rate);
  if (now - LastFlush <
      (AtHandoverRate ? Duration(HandoverInterval) : Duration(BatchInterval)))
    return;
  LastFlush = now;
  for (auto &[id, d] : Destinations)
    flush(d);
  std::erase_if(Destinations,
                [](const auto &it) { return it.second.Waiting.empty(); });
}

auto RecordStream::flush(Destination &d) -> void {
  // One byte indexes the upstream of a record, so a batch must name fewer than
  // 256 upstreams.
  constexpr std::size_t BatchLimit = 250;
  constexpr double RecordBytes = 9;
  constexpr double BatchBytes = 160;
  for (auto &[service, waiting] : d.Waiting) {
    while (!waiting.empty() && Budget > BatchBytes) {
      const auto room =
          static_cast<std::size_t>((Budget - BatchBytes) / RecordBytes) + 1;
      const auto n = static_cast<std::ptrdiff_t>(
          std::min({waiting.size(), BatchLimit, room}));
      RecordsMessage m;
      m.Service = service;
      m.Entries.assign(waiting.begin(), waiting.begin() + n);
      waiting.erase(waiting.begin(), waiting.begin() + n);
      Queued -= m.Entries.size();
      Sent.add(m.Entries.size());
      Budget -=
          static_cast<double>(Messenger.send(d.To, FlowMessage::Records, m));
    }
  }
  std::erase_if(d.Waiting, [](const auto &it) { return it.second.empty(); });
}

} // namespace boragebridge
