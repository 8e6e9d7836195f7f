/// \file
/// The log of a process: writes events to standard error through log4cxx.
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

  /// Reads the keys `format` and `level` of \p reader, which collects the
  /// errors.
  static auto read(SettingsReader reader) -> LogSettings;
};

/// Writes the events whose severity is at least LogSettings::Level.
/// Thread-safe. A process must not have more than one.
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
