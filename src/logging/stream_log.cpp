#include "logging/stream_log.h"

#include "logging/event_format.h"
#include "logging/process_events.h"

#include <fcntl.h>
#include <unistd.h>

namespace boragebridge {

StreamLog::StreamLog(std::string process, const Clock &time,
                     StreamLogOptions opt)
    : Process(std::move(process)), Time(time), Options(opt) {
  const auto flags = ::fcntl(Options.Descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(Options.Descriptor, F_SETFL, flags | O_NONBLOCK);
}

StreamLog::~StreamLog() { flush(); }

auto StreamLog::rateOf(const LogEvent &e) -> EventRate & {
  auto &rate = Rates[e.Number];
  const auto now = Time.now();
  if (now - rate.WindowStart >= std::chrono::seconds(1)) {
    rate.WindowStart = now;
    rate.Lines = 0;
  }
  return rate;
}

auto StreamLog::wouldWrite(const LogEvent &e) -> bool {
  return e.Level >= Options.Level && checkLimit(rateOf(e));
}

auto StreamLog::checkLimit(const EventRate &rate) -> bool {
  if (rate.Lines < Options.LinesPerSecond)
    return true;
  ++Dropped;
  return false;
}

auto StreamLog::write(const LogEvent &e, std::initializer_list<LogField> fields)
    -> void {
  if (e.Level < Options.Level)
    return;
  auto &rate = rateOf(e);
  if (!checkLimit(rate))
    return;
  ++rate.Lines;
  append(e, fields);
}

auto StreamLog::append(const LogEvent &e,
                       std::initializer_list<LogField> fields) -> void {
  const auto line = formatEvent(LogFormat::KeyValue, formatTimeStamp(), Process,
                                e, {fields.begin(), fields.size()});
  if (Buffer.size() + line.size() + 1 > Options.BufferBytes) {
    ++Dropped;
    return;
  }
  Buffer += line;
  Buffer += '\n';
}

auto StreamLog::flush() -> void {
  if (Dropped != ReportedDrops && wouldWrite(events::LinesDropped)) {
    write(events::LinesDropped,
          {{"count", std::to_string(Dropped - ReportedDrops)}});
    ReportedDrops = Dropped;
  }
  if (Buffer.empty())
    return;
  const auto n = ::write(Options.Descriptor, Buffer.data(), Buffer.size());
  // While the pipe is full, write() fails and the text stays in the buffer.
  if (n > 0)
    Buffer.erase(0, static_cast<std::size_t>(n));
}

} // namespace boragebridge
