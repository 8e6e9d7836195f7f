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

auto EdgeViews::configurationChanges(const ObjectList &l)
    -> std::optional<std::vector<ObjectEvent>> {
  // Of several versions, the last one that can be read.
  for (auto it = l.Events.rbegin(); it != l.Events.rend(); ++it) {
    if (it->Removed)
      continue;
    const auto text = Format.splitConfiguration(it->Object);
    if (absl::IsNotFound(text.status()))
      continue;
    auto changes = text.ok() ? Parts.changesTo(*text) : text.status();
    if (changes.ok())
      return *std::move(changes);
    logRefused(it->Object, changes.status());
  }
  return std::nullopt;
}

/// Whether \p l, read from a mirror, consists of parts already.
static auto hasParts(const ObjectList &l) -> bool {
  return !l.Events.empty() &&
         l.Events.front().Object.Key.starts_with(ConfigurationPartsPrefix);
}

auto EdgeViews::onConfigurationList(const ObjectList &l) -> void {
  const std::string prefix(ConfigurationPartsPrefix);
  if (!hasParts(l)) {
    // The mirror starts a new history, which needs all parts and not only
    // those that have changed.
    if (IsRestoredList)
      Parts.clear();
    onConfigurationDocument(l);
    if (!Parts.isEmpty())
      Mirror.setConfirmed(prefix, true);
    return;
  }
  const auto begin = Time.now();
  const auto changes = Mirror.replace(prefix, l);
  Parts.apply(changes);
  if (!changes.empty())
    applyConfiguration(l, begin);
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
  const std::string prefix(ConfigurationPartsPrefix);
  auto changes = configurationChanges(l);
  if (!changes || changes->empty())
    return Mirror.advance(prefix, l.CurrentVersion);
  const ObjectList parts{*std::move(changes), l.CurrentVersion};
  if (Parts.isEmpty())
    Mirror.replace(prefix, parts);
  else
    Mirror.apply(prefix, parts);
  Parts.apply(parts.Events);
  applyConfiguration(l, begin);
}

auto EdgeViews::applyConfiguration(const ObjectList &read, TimePoint begin)
    -> void {
  auto c = Parts.configuration();
  if (!c.ok())
    return logRefused({Format.configurationPrefix(), {}, read.CurrentVersion},
                      c.status());
  const auto version = c->Version;
  const auto routes = c->Routes.size();
  if (!Directory.setConfiguration(*std::move(c), Time.now())) {
    Log.write(events::EdgeConfigurationOlder,
              {{"version", std::to_string(version)},
               {"in_force", std::to_string(Directory.configuration().Version)},
               {"from", toString(read.Transfer.From)},
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
             {"digest", std::to_string(Mirror.digest(
                            std::string(ConfigurationPartsPrefix)))},
             {"from", toString(read.Transfer.From)},
             {"store_version", toText(read.CurrentVersion)},
             {"bytes", std::to_string(read.Transfer.Bytes)},
             {"receive_ms", inMilliseconds(read.Transfer.Receiving)},
             {"read_ms", inMilliseconds(reading)}});
}

} // namespace boragebridge
