/// \file
/// The part of EdgeViews that deals with the configuration: its parts, as this
/// instance splits them off the store's object or reads them from a mirror, and
/// when they are in force.
#include "edge/edge_views.h"

#include "edge/edge_events.h"
#include "edge/flow_log.h"

namespace boragebridge {

auto EdgeViews::mirrorPrefix(const std::string &prefix) const -> std::string {
  return prefix == Format.configurationPrefix()
             ? std::string(ConfigurationPartsPrefix)
             : prefix;
}

auto EdgeViews::splitConfiguration(const ObjectList &l)
    -> std::optional<ObjectList> {
  // Of several versions, the last one that can be read.
  for (auto it = l.Events.rbegin(); it != l.Events.rend(); ++it) {
    if (it->Removed)
      continue;
    auto parts = splitIntoObjects(Format, it->Object, l.CurrentVersion);
    if (parts.ok())
      return *std::move(parts);
    if (!absl::IsNotFound(parts.status()))
      logRefused(it->Object, parts.status());
  }
  return std::nullopt;
}

/// Whether \p l, read from a mirror, consists of parts already.
static auto hasParts(const ObjectList &l) -> bool {
  return !l.Events.empty() &&
         l.Events.front().Object.Key.starts_with(ConfigurationPartsPrefix);
}

auto EdgeViews::onConfigurationList(const ObjectList &l) -> void {
  if (hasParts(l))
    return replaceConfiguration(l, l, Time.now());
  onConfigurationDocument(l);
}

auto EdgeViews::onConfigurationEvents(const ObjectList &l) -> void {
  if (!hasParts(l))
    return onConfigurationDocument(l);
  const auto begin = Time.now();
  Mirror.apply(std::string(ConfigurationPartsPrefix), l);
  Parts.apply(l.Events);
  applyConfiguration(l, begin);
}

auto EdgeViews::onConfigurationDocument(const ObjectList &l) -> void {
  const auto begin = Time.now();
  if (const auto parts = splitConfiguration(l))
    return replaceConfiguration(*parts, l, begin);
  Mirror.advance(std::string(ConfigurationPartsPrefix), l.CurrentVersion);
}

auto EdgeViews::replaceConfiguration(const ObjectList &parts,
                                     const ObjectList &read, TimePoint begin)
    -> void {
  const auto changes =
      Mirror.replace(std::string(ConfigurationPartsPrefix), parts);
  Parts.apply(changes);
  if (!changes.empty())
    applyConfiguration(read, begin);
}

auto EdgeViews::applyConfiguration(const ObjectList &read, TimePoint begin)
    -> void {
  auto c = Parts.configuration();
  if (!c.ok())
    return logRefused({Format.configurationPrefix(), {}, read.CurrentVersion},
                      c.status());
  const auto version = c->Version;
  const auto routes = c->Routes.size();
  if (!Directory.setConfiguration(*std::move(c))) {
    Log.write(events::EdgeConfigurationOlder,
              {{"version", std::to_string(version)},
               {"in_force", std::to_string(Directory.configuration().Version)},
               {"store_version", toText(read.CurrentVersion)}});
    return;
  }
  const auto reading = read.Transfer.Parsing + (Time.now() - begin);
  ConfigurationCounts.ReceivedBytes += read.Transfer.Bytes;
  ConfigurationCounts.Receiving += read.Transfer.Receiving;
  ConfigurationCounts.Reading += reading;
  Log.write(events::EdgeConfigurationInForce,
            {{"version", std::to_string(version)},
             {"routes", std::to_string(routes)},
             {"from", toString(read.Transfer.From)},
             {"store_version", toText(read.CurrentVersion)},
             {"bytes", std::to_string(read.Transfer.Bytes)},
             {"receive_ms", inMilliseconds(read.Transfer.Receiving)},
             {"read_ms", inMilliseconds(reading)}});
}

} // namespace boragebridge
