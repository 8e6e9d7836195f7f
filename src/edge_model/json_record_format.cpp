#include "edge_model/json_record_format.h"

#include "edge/upstream_record_text.h"
#include "net/json_text.h"

#include <stdexcept>

namespace boragebridge::edge_model {

namespace json = boost::json;
using std::chrono::milliseconds;

static auto toMilliseconds(Duration d) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

static auto parseEndpointValue(const json::value &v) -> Endpoint {
  Endpoint e;
  if (!parseEndpoint(json::value_to<std::string>(v), e))
    throw std::invalid_argument("invalid endpoint address");
  return e;
}

auto JsonRecordFormat::decodeUpstream(const StoredObject &o) const
    -> absl::StatusOr<UpstreamRecord> {
  return parseUpstreamRecord(o.Value);
}

auto formatConfiguration(const EdgeConfiguration &c) -> std::string {
  json::array routes;
  for (const auto &it : c.Routes) {
    json::array services;
    for (const auto &part : it.Services)
      services.push_back(json::object{{"service", raw(part.Service)},
                                      {"weight", part.Weight}});
    routes.push_back(json::object{{"name", it.Name},
                                  {"address", toString(it.Address)},
                                  {"services", std::move(services)}});
  }
  json::array services;
  for (const auto &it : c.Services)
    services.push_back(json::object{{"service", raw(it.Service)},
                                    {"cold_per_second", it.ColdPerSecond}});
  return json::serialize(
      json::object{{"version", c.Version},
                   {"idle_ms", toMilliseconds(c.IdleTimeout)},
                   {"routes", std::move(routes)},
                   {"services", std::move(services)}});
}

static auto parseRoute(const json::value &v) -> RouteRecord {
  RouteRecord r;
  r.Name = json::value_to<std::string>(v.at("name"));
  r.Address = parseEndpointValue(v.at("address"));
  for (const auto &it : v.at("services").as_array())
    r.Services.push_back(
        {ServiceId{it.at("service").to_number<std::uint64_t>()},
         it.at("weight").to_number<unsigned>()});
  return r;
}

auto JsonRecordFormat::splitConfiguration(const StoredObject &o) const
    -> absl::StatusOr<ConfigurationText> {
  return splitConfigurationText(o.Value, {"routes", "name"},
                                {"services", "service"});
}

auto JsonRecordFormat::decodeConfigurationHead(const std::string &text) const
    -> absl::StatusOr<EdgeConfiguration> {
  return readJson(text, [](const json::value &v) {
    EdgeConfiguration c;
    c.Version = v.at("version").to_number<std::uint64_t>();
    c.IdleTimeout = milliseconds(v.at("idle_ms").to_number<std::int64_t>());
    return c;
  });
}

auto JsonRecordFormat::decodeRoute(const std::string &text) const
    -> absl::StatusOr<RouteRecord> {
  return readJson(text, parseRoute);
}

auto JsonRecordFormat::decodeService(const std::string &text) const
    -> absl::StatusOr<ServiceRecord> {
  return readJson(text, [](const json::value &v) {
    return ServiceRecord{ServiceId{v.at("service").to_number<std::uint64_t>()},
                         v.at("cold_per_second").to_number<double>()};
  });
}

} // namespace boragebridge::edge_model
