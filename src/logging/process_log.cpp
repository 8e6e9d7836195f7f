#include "logging/process_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace boragebridge {

struct ProcessLog::Impl {
  std::string Process;
  LogFormat Format;
  log4cxx::LoggerPtr Logger;
};

static auto toLevel(Severity s) -> log4cxx::LevelPtr {
  switch (s) {
  case Severity::Debug:
    return log4cxx::Level::getDebug();
  case Severity::Info:
    return log4cxx::Level::getInfo();
  case Severity::Warning:
    return log4cxx::Level::getWarn();
  case Severity::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

auto LogSettings::read(SettingsReader reader) -> LogSettings {
  LogSettings s;
  if (reader.choice("format", {"keyvalue", "json"}, "keyvalue") == "json")
    s.Format = LogFormat::Json;
  const auto level =
      reader.choice("level", {"debug", "info", "warning", "error"}, "info");
  for (auto sev :
       {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error})
    if (toString(sev) == level)
      s.Level = sev;
  return s;
}

ProcessLog::ProcessLog(std::string process, const LogSettings &settings)
    : State(std::make_unique<Impl>()) {
  State->Process = std::move(process);
  State->Format = settings.Format;
  State->Logger = log4cxx::Logger::getLogger(State->Process);
  auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  State->Logger->setAdditivity(false);
  State->Logger->addAppender(appender);
  State->Logger->setLevel(toLevel(settings.Level));
}

ProcessLog::~ProcessLog() { State->Logger->removeAllAppenders(); }

auto ProcessLog::write(const LogEvent &e,
                       std::initializer_list<LogField> fields) -> void {
  const auto level = toLevel(e.Level);
  if (!State->Logger->isEnabledFor(level))
    return;
  const auto line =
      formatEvent(State->Format, formatTimeStamp(), State->Process, e,
                  {fields.begin(), fields.size()});
  State->Logger->forcedLog(level, line);
}

} // namespace boragebridge
