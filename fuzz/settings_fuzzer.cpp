// Any text as a settings file: errors, never a crash or an endless loop.
#include "fuzz_target.h"

#include "logging/process_log.h"
#include "settings/settings_reader.h"

namespace boragebridge::fuzz {

auto runOne(ByteView data) -> void {
  auto it = SettingsReader::fromText(toText(data), "fuzz.yaml");
  if (!it.ok())
    return;
  it->text("name");
  it->number("port", {1, 65535}, 1);
  it->duration("wait", {Duration(1), std::chrono::hours(1)});
  it->endpoints("seeds");
  for (auto &sub : it->sections("services"))
    sub.endpoint("address");
  LogSettings::read(it->section("log"));
  static_cast<void>(it->finish());
}

} // namespace boragebridge::fuzz
