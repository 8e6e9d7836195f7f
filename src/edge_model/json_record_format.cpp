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

auto JsonRecordFormat::decodeConfiguration(const StoredObject &o) const
    -> absl::StatusOr<EdgeConfiguration> {
  return readJson(o.Value, [](const json::value &v) {
    EdgeConfiguration c;
    c.Version = v.at("version").to_number<std::uint64_t>();
    c.IdleTimeout = milliseconds(v.at("idle_ms").to_number<std::int64_t>());
    for (const auto &it : v.at("routes").as_array())
      c.Routes.push_back(parseRoute(it));
    for (const auto &it : v.at("services").as_array())
      c.Services.push_back(
          {ServiceId{it.at("service").to_number<std::uint64_t>()},
           it.at("cold_per_second").to_number<double>()});
    return c;
  });
}

} // namespace boragebridge::edge_model
