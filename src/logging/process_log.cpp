#include "logging/process_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <ctime>

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

/// The present time in UTC as "2026-01-31T12:34:56.789Z".
static auto timeStamp() -> std::string {
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now();
  const auto t = std::chrono::system_clock::to_time_t(now);
  const auto ms =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) %
      std::chrono::seconds(1);
  std::tm parts{};
  gmtime_r(&t, &parts);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  auto fraction = std::to_string(ms.count());
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::string(buf.data()) + "." + fraction + "Z";
}

auto LogSettings::read(SettingsReader it) -> LogSettings {
  LogSettings s;
  if (it.choice("format", {"keyvalue", "json"}, "keyvalue") == "json")
    s.Format = LogFormat::Json;
  const auto level =
      it.choice("level", {"debug", "info", "warning", "error"}, "info");
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
  const auto line = formatEvent(State->Format, timeStamp(), State->Process, e,
                                {fields.begin(), fields.size()});
  State->Logger->forcedLog(level, line);
}

} // namespace boragebridge
