/// \file
/// A small event log for the packet path: lines to a file descriptor, bounded
/// by kind, gathered and written without ever blocking. It starts in
/// microseconds, where log4cxx takes many milliseconds of a small machine.
///
/// Lines of one kind beyond its limit in a second, and lines that the reader
/// of the descriptor does not take, are left out and counted; the count comes
/// with the next line of events::LinesDropped.
#ifndef BORAGEBRIDGE_LOGGING_STREAM_LOG_H
#define BORAGEBRIDGE_LOGGING_STREAM_LOG_H

#include "boragebridge/clock.h"
#include "boragebridge/event_log.h"

#include <unordered_map>

namespace boragebridge {

struct StreamLogOptions {
  /// Where lines go; made non-blocking.
  int Descriptor = 1;
  Severity Level = Severity::Info;
  /// Lines of one event number in one second.
  unsigned LinesPerSecond = 100;
  /// Text that may wait for the descriptor, in bytes.
  std::size_t BufferBytes = std::size_t{64} << 10;
};

/// Not thread-safe, unlike other logs: for processes of one thread.
class StreamLog final : public EventLog {
public:
  /// \p time outlives the log.
  StreamLog(std::string process, const Clock &time, StreamLogOptions opt = {});
  ~StreamLog() override;

  auto write(const LogEvent &e, std::initializer_list<LogField> fields)
      -> void override;
  /// Whether write() would take a line of \p e now; lets a caller spare the
  /// making of its fields.
  auto wouldWrite(const LogEvent &e) -> bool;
  /// Writes what has gathered. Call every few tens of milliseconds.
  auto flush() -> void;
  auto droppedLines() const -> std::uint64_t { return Dropped; }

private:
  struct EventRate {
    TimePoint WindowStart;
    unsigned Lines = 0;
  };

  auto rateOf(const LogEvent &e) -> EventRate &;
  /// Whether a line of \p rate is within its limit; counts it when not.
  auto checkLimit(const EventRate &rate) -> bool;
  auto append(const LogEvent &e, std::initializer_list<LogField> fields)
      -> void;

  std::string Process;
  const Clock &Time;
  StreamLogOptions Options;
  std::unordered_map<std::uint16_t, EventRate> Rates;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDrops = 0;
};

} // namespace boragebridge

#endif
