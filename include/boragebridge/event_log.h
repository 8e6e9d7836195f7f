/// \file
/// Numbered log events. Each module defines its events as constants in its
/// header `src/<module>/<module>_events.h`; docs/LOGS.md is the catalogue.
///
/// Example:
/// \code
///   ctx.Log.write(events::PeerSuspected,
///                 {{"peer", "b"}, {"silent_ms", "900"}});
/// \endcode
#ifndef BORAGEBRIDGE_EVENT_LOG_H
#define BORAGEBRIDGE_EVENT_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace boragebridge {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/// One kind of event. The meaning of a number never changes. Ranges: membership
/// 1000-1099, configuration 1100-1299, platform 1300-1399, administration
/// 1400-1499, flows 2000-2199, health 2200-2299, packet edge 2300-2399,
/// requests 3000-3299, transport 4000-4199, process 5000-5099.
struct LogEvent {
  std::uint16_t Number;
  Severity Level;
  std::string_view Name;
};

/// A named value of an event.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Receives events. Implementations are thread-safe unless they state
/// otherwise.
class EventLog {
public:
  EventLog() = default;
  EventLog(const EventLog &) = delete;
  auto operator=(const EventLog &) -> EventLog & = delete;
  virtual ~EventLog() = default;
  virtual auto write(const LogEvent &e, std::initializer_list<LogField> fields)
      -> void = 0;
};

/// Discards every event.
class NullEventLog final : public EventLog {
public:
  auto write(const LogEvent &, std::initializer_list<LogField>)
      -> void override {}
};

} // namespace boragebridge

#endif
