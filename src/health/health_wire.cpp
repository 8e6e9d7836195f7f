#include "health/health_wire.h"

#include "health/health_generated.h"

#include <algorithm>

namespace boragebridge {

namespace wire_health = wire::health;

static auto toBytes(const flatbuffers::FlatBufferBuilder &fbb) -> Bytes {
  const auto *data =
      reinterpret_cast<const std::byte *>(fbb.GetBufferPointer());
  return {data, data + fbb.GetSize()};
}

/// Returns the table of type \p Table in \p body, or null if the body does not
/// verify.
template <typename Table> static auto verified(ByteView body) -> const Table * {
  const auto *data = reinterpret_cast<const std::uint8_t *>(body.data());
  flatbuffers::Verifier verifier(data, body.size());
  if (!verifier.VerifyBuffer<Table>(nullptr))
    return nullptr;
  return flatbuffers::GetRoot<Table>(data);
}

/// Returns true if \p entries is present and within HealthEntryLimit.
template <typename Vector> static auto isWithinLimit(const Vector *entries) {
  return entries != nullptr && entries->size() <= HealthEntryLimit;
}

auto encodeHealthStatuses(const std::vector<HealthStatusEntry> &all) -> Bytes {
  std::vector<wire_health::Opinion> entries;
  entries.reserve(all.size());
  for (const auto &it : all)
    entries.emplace_back(raw(it.Upstream), it.Content.Version,
                         static_cast<std::uint32_t>(it.Content.Latency.count()),
                         static_cast<std::uint8_t>(it.Content.Fitness),
                         it.Content.RampPercent, it.Content.UnfitByTimeouts);
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire_health::CreateOpinions(
      fbb, fbb.CreateVectorOfStructs(entries.data(), entries.size())));
  return toBytes(fbb);
}

auto decodeHealthStatuses(ByteView body)
    -> std::optional<std::vector<HealthStatusEntry>> {
  constexpr std::uint8_t FullRamp = 100;
  const auto *table = verified<wire_health::Opinions>(body);
  if (table == nullptr || !isWithinLimit(table->entries()))
    return std::nullopt;
  std::vector<HealthStatusEntry> all;
  for (const auto *it : *table->entries()) {
    if (it->fitness() > static_cast<std::uint8_t>(UpstreamFitness::Unfit) ||
        it->ramp_percent() > FullRamp)
      return std::nullopt;
    all.push_back(
        {UpstreamId{it->upstream()},
         {it->version(), UpstreamFitness{it->fitness()}, it->ramp_percent(),
          std::chrono::microseconds(it->latency_us()), it->path_silent()}});
  }
  return all;
}

auto encodeObservations(const std::vector<ObservationEntry> &all) -> Bytes {
  std::vector<wire_health::Sighting> entries;
  entries.reserve(all.size());
  for (const auto &it : all)
    entries.emplace_back(raw(it.Upstream),
                         static_cast<std::uint32_t>(it.Content.Latency.count()),
                         it.Content.Count,
                         static_cast<std::uint8_t>(it.Content.Kind));
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire_health::CreateSightings(
      fbb, fbb.CreateVectorOfStructs(entries.data(), entries.size())));
  return toBytes(fbb);
}

auto decodeObservations(ByteView body)
    -> std::optional<std::vector<ObservationEntry>> {
  const auto *table = verified<wire_health::Sightings>(body);
  if (table == nullptr || !isWithinLimit(table->entries()))
    return std::nullopt;
  std::vector<ObservationEntry> all;
  for (const auto *it : *table->entries()) {
    if (it->sign() == 0 ||
        it->sign() > static_cast<std::uint8_t>(LastObservationKind) ||
        it->count() == 0)
      return std::nullopt;
    all.push_back({UpstreamId{it->upstream()},
                   {ObservationKind{it->sign()}, it->count(),
                    std::chrono::microseconds(it->latency_us())}});
  }
  return all;
}

auto encodeHealthStatusRequest(UpstreamId after) -> Bytes {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire_health::CreateOpinionRequest(fbb, raw(after)));
  return toBytes(fbb);
}

auto decodeHealthStatusRequest(ByteView body) -> std::optional<UpstreamId> {
  const auto *table = verified<wire_health::OpinionRequest>(body);
  if (table == nullptr)
    return std::nullopt;
  return UpstreamId{table->after()};
}

auto encodeProbe(std::uint64_t sequence) -> Bytes {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire_health::CreateProbe(fbb, sequence));
  return toBytes(fbb);
}

auto decodeProbe(ByteView body) -> std::optional<std::uint64_t> {
  const auto *table = verified<wire_health::Probe>(body);
  if (table == nullptr)
    return std::nullopt;
  return table->sequence();
}

auto encodeReport(const UpstreamReport &r) -> Bytes {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire_health::CreateReport(fbb, raw(r.IncarnationNumber),
                                       r.ActiveRequests, r.Connections, r.Cold,
                                       r.Draining));
  return toBytes(fbb);
}

auto decodeReport(ByteView body) -> std::optional<UpstreamReport> {
  const auto *table = verified<wire_health::Report>(body);
  if (table == nullptr)
    return std::nullopt;
  return UpstreamReport{Incarnation{table->incarnation()},
                        table->active_requests(), table->connections(),
                        table->cold(), table->draining()};
}

} // namespace boragebridge
