/// \file
/// The record format of the modelled store: JSON objects with the edge's own
/// field names. It takes the place of the adapter of a real platform.
#ifndef BORAGEBRIDGE_EDGE_MODEL_JSON_RECORD_FORMAT_H
#define BORAGEBRIDGE_EDGE_MODEL_JSON_RECORD_FORMAT_H

#include "edge/edge_adapter.h"

namespace boragebridge::edge_model {

/// Returns the JSON text of \p c.
auto formatConfiguration(const EdgeConfiguration &c) -> std::string;

/// Decodes records that formatUpstreamRecord() and formatConfiguration() wrote.
/// The object is stateless and may be used from any thread.
class JsonRecordFormat final : public RecordFormat {
public:
  auto upstreamPrefix() const -> std::string override { return "upstreams/"; }
  auto configurationPrefix() const -> std::string override {
    return "configurations/";
  }
  auto withdrawalPrefix() const -> std::string override {
    return "withdrawals/";
  }
  auto memberPrefix() const -> std::string override { return "members/"; }

  auto decodeUpstream(const StoredObject &o) const
      -> absl::StatusOr<UpstreamRecord> override;
  auto splitConfiguration(const StoredObject &o) const
      -> absl::StatusOr<ConfigurationText> override;
  auto decodeConfigurationHead(const std::string &text) const
      -> absl::StatusOr<EdgeConfiguration> override;
  auto decodeRoute(const std::string &text) const
      -> absl::StatusOr<RouteRecord> override;
  auto decodeService(const std::string &text) const
      -> absl::StatusOr<ServiceRecord> override;
};

} // namespace boragebridge::edge_model

#endif
