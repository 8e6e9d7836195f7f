// Reads arbitrary text as a settings file. Invalid text must give errors, never
// a crash or an endless loop.
#include "fuzz_target.h"

#include "logging/process_log.h"
#include "settings/settings_reader.h"

namespace boragebridge::fuzz {

auto testOneInput(ByteView data) -> void {
  auto reader = SettingsReader::fromText(toText(data), "fuzz.yaml");
  if (!reader.ok())
    return;
  reader->text("name");
  reader->number("port", {1, 65535}, 1);
  reader->duration("wait", {Duration(1), std::chrono::hours(1)});
  reader->endpoints("seeds");
  for (auto &sub : reader->sections("services"))
    sub.endpoint("address");
  LogSettings::read(reader->section("log"));
  static_cast<void>(reader->finish());
}

} // namespace boragebridge::fuzz
