/// \file
/// Formats a log event as key=value pairs or as one JSON object.
#ifndef BORAGEBRIDGE_LOGGING_EVENT_FORMAT_H
#define BORAGEBRIDGE_LOGGING_EVENT_FORMAT_H

#include "boragebridge/event_log.h"

#include <span>

namespace boragebridge {

enum class LogFormat : std::uint8_t { KeyValue, Json };

/// Returns "debug", "info", "warning" or "error".
auto toString(Severity s) -> std::string_view;

/// Returns the current time in UTC as "2026-01-31T12:34:56.789Z".
auto formatTimeStamp() -> std::string;

/// Returns one line without a line break. \p time is the formatted time stamp
/// and \p process the name of the process. In LogFormat::KeyValue, a value that
/// is empty or has spaces, quotes, '=', '\\' or control characters is quoted
/// and escaped, so that each event is one line.
auto formatEvent(LogFormat f, std::string_view time, std::string_view process,
                 const LogEvent &e, std::span<const LogField> fields)
    -> std::string;

} // namespace boragebridge

#endif
