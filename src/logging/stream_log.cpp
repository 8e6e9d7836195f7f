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

auto StreamLog::kind(const LogEvent &e) -> Kind & {
  auto &k = Kinds[e.Number];
  const auto now = Time.now();
  if (now - k.Second >= std::chrono::seconds(1)) {
    k.Second = now;
    k.Lines = 0;
  }
  return k;
}

auto StreamLog::wouldWrite(const LogEvent &e) -> bool {
  return e.Level >= Options.Level && hasRoom(kind(e));
}

auto StreamLog::hasRoom(const Kind &k) -> bool {
  if (k.Lines < Options.LinesPerSecond)
    return true;
  ++LeftOut;
  return false;
}

auto StreamLog::write(const LogEvent &e, std::initializer_list<LogField> fields)
    -> void {
  if (e.Level < Options.Level)
    return;
  auto &k = kind(e);
  if (!hasRoom(k))
    return;
  ++k.Lines;
  append(e, fields);
}

auto StreamLog::append(const LogEvent &e,
                       std::initializer_list<LogField> fields) -> void {
  const auto line = formatEvent(LogFormat::KeyValue, formatTimeStamp(), Process,
                                e, {fields.begin(), fields.size()});
  if (Pending.size() + line.size() + 1 > Options.BufferBytes) {
    ++LeftOut;
    return;
  }
  Pending += line;
  Pending += '\n';
}

auto StreamLog::flush() -> void {
  if (LeftOut != Reported && wouldWrite(events::LinesLeftOut)) {
    write(events::LinesLeftOut,
          {{"count", std::to_string(LeftOut - Reported)}});
    Reported = LeftOut;
  }
  if (Pending.empty())
    return;
  const auto n = ::write(Options.Descriptor, Pending.data(), Pending.size());
  // Nothing is taken while the reader is behind; the text waits.
  if (n > 0)
    Pending.erase(0, static_cast<std::size_t>(n));
}

} // namespace boragebridge
