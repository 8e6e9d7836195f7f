/// \file
/// A small event log for the packet path. It buffers lines and writes them to a
/// file descriptor without blocking, with a rate limit per event number. It
/// starts in microseconds, whereas log4cxx takes many milliseconds on a small
/// machine.
///
/// Lines over the rate limit, and lines that do not fit into the buffer because
/// the reader of the descriptor is slow, are dropped and counted. The next line
/// of events::LinesDropped reports the count.
#ifndef BORAGEBRIDGE_LOGGING_STREAM_LOG_H
#define BORAGEBRIDGE_LOGGING_STREAM_LOG_H

#include "boragebridge/clock.h"
#include "boragebridge/event_log.h"

#include <unordered_map>

namespace boragebridge {

struct StreamLogOptions {
  /// File descriptor to write to. The log makes it non-blocking.
  int Descriptor = 1;
  Severity Level = Severity::Info;
  /// Maximum number of lines per event number and second.
  unsigned LinesPerSecond = 100;
  /// Maximum size of the unwritten text, in bytes.
  std::size_t BufferBytes = std::size_t{64} << 10;
};

/// Not thread-safe, unlike other event logs: for single-threaded processes.
class StreamLog final : public EventLog {
public:
  /// \p time must outlive the log.
  StreamLog(std::string process, const Clock &time, StreamLogOptions opt = {});
  ~StreamLog() override;

  auto write(const LogEvent &e, std::initializer_list<LogField> fields)
      -> void override;
  /// Returns whether write() would write event \p e now. A caller can use it to
  /// avoid building unused fields; an event over the rate limit is counted
  /// as dropped.
  auto wouldWrite(const LogEvent &e) -> bool;
  /// Writes the buffered lines. Must be called every few tens of milliseconds.
  auto flush() -> void;
  /// Returns the number of lines dropped so far.
  auto droppedLines() const -> std::uint64_t { return Dropped; }

private:
  /// Lines of one event number in the current second.
  struct EventRate {
    TimePoint WindowStart;
    unsigned Lines = 0;
  };

  auto rateOf(const LogEvent &e) -> EventRate &;
  /// Returns whether another line is within the limit of \p rate. Counts a
  /// dropped line if it is not.
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
