/// \file
/// The text of one log event, as key=value pairs or as one JSON object.
#ifndef BORAGEBRIDGE_LOGGING_EVENT_FORMAT_H
#define BORAGEBRIDGE_LOGGING_EVENT_FORMAT_H

#include "boragebridge/event_log.h"

#include <span>

namespace boragebridge {

enum class LogFormat : std::uint8_t { KeyValue, Json };

/// "debug", "info", "warning" or "error".
auto toString(Severity s) -> std::string_view;

/// The present time in UTC as "2026-01-31T12:34:56.789Z".
auto formatTimeStamp() -> std::string;

/// One line without its end. \p time is the text of the time stamp and
/// \p process the name of the process. A value with spaces, quotes, '=' or
/// control characters is quoted and escaped, so that a line stays one line.
auto formatEvent(LogFormat f, std::string_view time, std::string_view process,
                 const LogEvent &e, std::span<const LogField> fields)
    -> std::string;

} // namespace boragebridge

#endif
