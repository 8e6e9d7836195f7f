/// \file
/// The log of a process: events by way of log4cxx to standard error.
#ifndef BORAGEBRIDGE_LOGGING_PROCESS_LOG_H
#define BORAGEBRIDGE_LOGGING_PROCESS_LOG_H

#include "logging/event_format.h"
#include "settings/settings_reader.h"

#include <memory>

namespace boragebridge {

/// The `log` section of every program's settings.
struct LogSettings {
  LogFormat Format = LogFormat::KeyValue;
  Severity Level = Severity::Info;

  /// Reads the keys `format` and `level` of \p reader; errors stay in the
  /// reader.
  static auto read(SettingsReader reader) -> LogSettings;
};

/// Writes events of at least the set level. Safe from any thread. One object
/// a process.
class ProcessLog final : public EventLog {
public:
  ProcessLog(std::string process, const LogSettings &settings);
  ~ProcessLog() override;
  auto write(const LogEvent &e, std::initializer_list<LogField> fields)
      -> void override;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace boragebridge

#endif
