#include "edge/upstream_record_text.h"

#include "net/json_text.h"

#include <stdexcept>

namespace boragebridge {

namespace json = boost::json;
using std::chrono::milliseconds;

auto formatUpstreamRecord(const UpstreamRecord &r) -> std::string {
  const auto cold = std::chrono::duration_cast<milliseconds>(r.ColdFor).count();
  return json::serialize(json::object{{"name", r.Name},
                                      {"wire_id", r.WireId},
                                      {"started_ms", r.StartedAt.count()},
                                      {"service", raw(r.Service)},
                                      {"data_centre", raw(r.DataCentre)},
                                      {"address", toString(r.Address)},
                                      {"slots", r.Slots},
                                      {"draining", r.Draining},
                                      {"sequence", r.Sequence},
                                      {"cold_ms", cold}});
}

auto parseUpstreamRecord(const std::string &text)
    -> absl::StatusOr<UpstreamRecord> {
  return readJson(text, [](const json::value &v) {
    UpstreamRecord r;
    r.Name = json::value_to<std::string>(v.at("name"));
    r.WireId = v.at("wire_id").to_number<std::uint64_t>();
    r.StartedAt = milliseconds(v.at("started_ms").to_number<std::int64_t>());
    r.Service = ServiceId{v.at("service").to_number<std::uint64_t>()};
    r.DataCentre = DataCentreId{v.at("data_centre").to_number<std::uint64_t>()};
    if (!parseEndpoint(json::value_to<std::string>(v.at("address")), r.Address))
      throw std::invalid_argument("address is not IP:PORT");
    r.Slots = v.at("slots").to_number<unsigned>();
    r.Draining = v.at("draining").as_bool();
    r.Sequence = v.at("sequence").to_number<std::uint64_t>();
    r.ColdFor = milliseconds(v.at("cold_ms").to_number<std::int64_t>());
    return r;
  });
}

} // namespace boragebridge
