#include "logging/stream_log.h"

#include "logging/event_format.h"
#include "logging/process_events.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <ctime>

namespace boragebridge {

/// The time of day in UTC with milliseconds, as in ISO 8601.
static auto formatTimeOfDay() -> std::string {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const auto seconds = static_cast<std::time_t>(ms / 1000);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const auto n =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const auto fraction = std::to_string(1000 + ms % 1000);
  return std::string(text.data(), n) + '.' + fraction.substr(1) + 'Z';
}

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

auto StreamLog::wouldTake(const LogEvent &e) -> bool {
  if (e.Level < Options.Level)
    return false;
  if (kind(e).Lines < Options.LinesPerSecond)
    return true;
  ++LeftOut;
  return false;
}

auto StreamLog::write(const LogEvent &e, std::initializer_list<LogField> fields)
    -> void {
  if (!wouldTake(e))
    return;
  ++kind(e).Lines;
  append(e, fields);
}

auto StreamLog::append(const LogEvent &e,
                       std::initializer_list<LogField> fields) -> void {
  const auto line = formatEvent(LogFormat::KeyValue, formatTimeOfDay(), Process,
                                e, {fields.begin(), fields.size()});
  if (Pending.size() + line.size() + 1 > Options.BufferBytes) {
    ++LeftOut;
    return;
  }
  Pending += line;
  Pending += '\n';
}

auto StreamLog::flush() -> void {
  if (LeftOut != Reported && wouldTake(events::LinesLeftOut)) {
    ++kind(events::LinesLeftOut).Lines;
    append(events::LinesLeftOut,
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
