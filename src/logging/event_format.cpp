#include "logging/event_format.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>

namespace boragebridge {

auto toString(Severity s) -> std::string_view {
  switch (s) {
  case Severity::Debug:
    return "debug";
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "unknown";
}

auto formatTimeStamp() -> std::string {
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

static auto needsQuotes(std::string_view s) -> bool {
  return s.empty() || std::any_of(s.begin(), s.end(), [](char c) {
           const auto u = static_cast<unsigned char>(c);
           return u <= ' ' || c == '"' || c == '=' || c == '\\' || u == 0x7F;
         });
}

static auto appendPair(std::string &line, std::string_view key,
                       std::string_view value) -> void {
  if (!line.empty())
    line += ' ';
  line += key;
  line += '=';
  if (needsQuotes(value))
    line += boost::json::serialize(boost::json::string(value));
  else
    line += value;
}

auto formatEvent(LogFormat f, std::string_view time, std::string_view process,
                 const LogEvent &e, std::span<const LogField> fields)
    -> std::string {
  if (f == LogFormat::Json) {
    boost::json::object o{{"time", time},
                          {"level", toString(e.Level)},
                          {"event", e.Number},
                          {"name", e.Name},
                          {"process", process}};
    for (const auto &it : fields)
      o[it.Name] = it.Value;
    return boost::json::serialize(o);
  }
  std::string line;
  appendPair(line, "time", time);
  appendPair(line, "level", toString(e.Level));
  appendPair(line, "event", std::to_string(e.Number));
  appendPair(line, "name", e.Name);
  appendPair(line, "process", process);
  for (const auto &it : fields)
    appendPair(line, it.Name, it.Value);
  return line;
}

} // namespace boragebridge
