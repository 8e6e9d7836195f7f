#include "flow/flow_wire.h"

#include "flow/flow_generated.h"

#include <algorithm>
#include <bit>

namespace boragebridge {

using flatbuffers::FlatBufferBuilder;
using wire::flow::GenerationNumber;

static constexpr std::size_t MaxBody = std::size_t{4} << 20;
static constexpr std::size_t MaxServices = 16384;
static constexpr std::size_t MaxUpstreams = 4096;
static constexpr std::uint32_t MaxSlots = 16384;
static constexpr std::size_t MaxChainOnWire = 16;
static constexpr std::size_t MaxRecords = 4096;
static constexpr std::size_t MaxPayload = 65536;

template <typename T, typename Root>
static auto finish(FlatBufferBuilder &b, Root root) -> Bytes {
  b.Finish(flatbuffers::Offset<T>(root));
  const auto *data = reinterpret_cast<const std::byte *>(b.GetBufferPointer());
  return {data, data + b.GetSize()};
}

/// The root table of \p body, or null when it does not verify.
template <typename T> static auto verified(ByteView body) -> const T * {
  if (body.size() > MaxBody)
    return nullptr;
  const auto *data = reinterpret_cast<const std::uint8_t *>(body.data());
  flatbuffers::Verifier v(data, body.size());
  if (!v.VerifyBuffer<T>(nullptr))
    return nullptr;
  return flatbuffers::GetRoot<T>(data);
}

static auto toWire(const GenerationId &id) -> GenerationNumber {
  return {raw(id.Config), id.Counter, raw(id.Proposer)};
}

static auto fromWire(const GenerationNumber *n) -> GenerationId {
  if (n == nullptr)
    return {};
  return {Revision{n->revision()}, n->counter(), Incarnation{n->proposer()}};
}

static auto encodeGeneration(FlatBufferBuilder &b, const Generation &g)
    -> flatbuffers::Offset<wire::flow::Generation> {
  std::vector<std::uint64_t> upstreams;
  std::vector<std::uint16_t> weights;
  for (const auto &it : g.Upstreams) {
    upstreams.push_back(raw(it.Id));
    weights.push_back(it.Weight);
  }
  const auto number = toWire(g.Id);
  return wire::flow::CreateGenerationDirect(b, &number, g.Slots, &upstreams,
                                            &weights);
}

static auto decodeGeneration(const wire::flow::Generation *g, Generation &out)
    -> bool {
  if (g->number() == nullptr || g->upstreams() == nullptr ||
      g->weights() == nullptr ||
      g->upstreams()->size() != g->weights()->size() ||
      g->upstreams()->size() > MaxUpstreams || g->slots() > MaxSlots ||
      !std::has_single_bit(g->slots()))
    return false;
  out.Id = fromWire(g->number());
  out.Slots = g->slots();
  std::uint64_t last = 0;
  for (flatbuffers::uoffset_t i = 0; i < g->upstreams()->size(); ++i) {
    const auto id = g->upstreams()->Get(i);
    const auto weight = g->weights()->Get(i);
    // Identifiers must rise, which excludes duplicates.
    if (id <= last || weight == 0)
      return false;
    last = id;
    out.Upstreams.push_back({UpstreamId{id}, weight});
  }
  return !out.Id.isNone();
}

static auto decodeService(const wire::flow::ServiceState *s,
                          PlacementState &out) -> bool {
  if (s->chain() == nullptr || s->chain()->size() > MaxChainOnWire ||
      s->chain()->size() == 0)
    return false;
  out.Service = ServiceId{s->service()};
  out.Active = fromWire(s->active());
  for (const auto *g : *s->chain()) {
    Generation gen;
    if (!decodeGeneration(g, gen) ||
        (!out.Chain.empty() && (gen.Slots != out.Chain.front().Slots ||
                                gen.Id <= out.Chain.back().Id)))
      return false;
    out.Chain.push_back(std::move(gen));
  }
  if (s->settled() == nullptr)
    return true;
  out.SettledFrom.assign(s->settled()->begin(), s->settled()->end());
  return out.SettledFrom.size() == out.Chain.front().Slots;
}

auto encode(const StateMessage &m) -> Bytes {
  FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<wire::flow::ServiceState>> services;
  for (const auto &s : m.Services) {
    std::vector<flatbuffers::Offset<wire::flow::Generation>> chain;
    for (const auto &g : s.Chain)
      chain.push_back(encodeGeneration(b, g));
    const auto active = toWire(s.Active);
    services.push_back(wire::flow::CreateServiceStateDirect(
        b, raw(s.Service), &chain, &active,
        s.SettledFrom.empty() ? nullptr : &s.SettledFrom));
  }
  const auto announced = toWire(m.Announced);
  return finish<wire::flow::State>(
      b, wire::flow::CreateStateDirect(b, &services, &announced, m.Synced,
                                       m.Answer));
}

auto decode(ByteView b, StateMessage &m) -> bool {
  const auto *root = verified<wire::flow::State>(b);
  if (root == nullptr)
    return false;
  m.Announced = fromWire(root->announced());
  m.Synced = root->synced();
  m.Answer = root->answer();
  if (root->services() == nullptr)
    return true;
  if (root->services()->size() > MaxServices)
    return false;
  for (const auto *s : *root->services()) {
    m.Services.emplace_back();
    if (!decodeService(s, m.Services.back()))
      return false;
  }
  return true;
}

auto encode(const AckMessage &m) -> Bytes {
  FlatBufferBuilder b;
  const auto number = toWire(m.Id);
  return finish<wire::flow::Ack>(
      b, wire::flow::CreateAck(b, &number, raw(m.ConfigRevision)));
}

auto decode(ByteView b, AckMessage &m) -> bool {
  const auto *root = verified<wire::flow::Ack>(b);
  if (root == nullptr || root->number() == nullptr)
    return false;
  m.Id = fromWire(root->number());
  m.ConfigRevision = Revision{root->revision()};
  return true;
}

auto encode(const ActivateMessage &m) -> Bytes {
  FlatBufferBuilder b;
  const auto number = toWire(m.Id);
  return finish<wire::flow::Activate>(b,
                                      wire::flow::CreateActivate(b, &number));
}

auto decode(ByteView b, ActivateMessage &m) -> bool {
  const auto *root = verified<wire::flow::Activate>(b);
  if (root == nullptr || root->number() == nullptr)
    return false;
  m.Id = fromWire(root->number());
  return true;
}

auto encode(const SettledMessage &m) -> Bytes {
  FlatBufferBuilder b;
  const auto number = toWire(m.Id);
  return finish<wire::flow::Settled>(
      b, wire::flow::CreateSettledDirect(b, raw(m.Service), &number, &m.Slots));
}

auto decode(ByteView b, SettledMessage &m) -> bool {
  const auto *root = verified<wire::flow::Settled>(b);
  if (root == nullptr || root->number() == nullptr ||
      root->slots() == nullptr || root->slots()->size() > MaxSlots)
    return false;
  m.Service = ServiceId{root->service()};
  m.Id = fromWire(root->number());
  m.Slots.assign(root->slots()->begin(), root->slots()->end());
  return true;
}

auto encode(const DigestMessage &m) -> Bytes {
  FlatBufferBuilder b;
  return finish<wire::flow::Digest>(
      b, wire::flow::CreateDigest(b, m.Hash, m.Synced));
}

auto decode(ByteView b, DigestMessage &m) -> bool {
  const auto *root = verified<wire::flow::Digest>(b);
  if (root == nullptr)
    return false;
  m = {root->hash(), root->synced()};
  return true;
}

auto encode(const SyncRequestMessage &m) -> Bytes {
  FlatBufferBuilder b;
  return finish<wire::flow::SyncRequest>(
      b, wire::flow::CreateSyncRequestDirect(b, m.Number, &m.Buckets));
}

auto decode(ByteView b, SyncRequestMessage &m) -> bool {
  const auto *root = verified<wire::flow::SyncRequest>(b);
  if (root == nullptr || root->buckets() == nullptr ||
      root->buckets()->size() != SyncRequestMessage::BucketCount)
    return false;
  m.Number = root->number();
  m.Buckets.assign(root->buckets()->begin(), root->buckets()->end());
  return true;
}

auto encode(const RelayMessage &m) -> Bytes {
  FlatBufferBuilder b(128 + m.Content.Payload.size());
  const auto &p = m.Content;
  const auto payload =
      b.CreateVector(reinterpret_cast<const std::uint8_t *>(p.Payload.data()),
                     p.Payload.size());
  return finish<wire::flow::Relay>(
      b, wire::flow::CreateRelay(
             b, m.Hops, raw(m.Service), static_cast<std::uint8_t>(p.Kind),
             p.Flow.Caller.Address, p.Flow.Caller.Port, p.Flow.Service.Address,
             p.Flow.Service.Port, p.Flow.Protocol, payload));
}

auto decode(ByteView b, RelayMessage &m) -> bool {
  const auto *root = verified<wire::flow::Relay>(b);
  if (root == nullptr || root->payload() == nullptr ||
      root->payload()->size() > MaxPayload)
    return false;
  const auto kind = static_cast<PacketKind>(root->kind());
  if (kind < PacketKind::FlowOpen || kind > PacketKind::FlowReset)
    return false;
  const auto *data =
      reinterpret_cast<const std::byte *>(root->payload()->data());
  m.Hops = root->hops();
  m.Service = ServiceId{root->service()};
  m.Content = {kind,
               {{root->caller_address(), root->caller_port()},
                {root->service_address(), root->service_port()},
                root->protocol()},
               {data, data + root->payload()->size()}};
  return true;
}

auto encode(const RecordsMessage &m) -> Bytes {
  FlatBufferBuilder b(64 + m.Entries.size() * 9);
  std::vector<std::uint64_t> upstreams;
  std::vector<std::uint64_t> flows;
  std::vector<std::uint8_t> choices;
  for (const auto &it : m.Entries) {
    auto at = std::find(upstreams.begin(), upstreams.end(), raw(it.Upstream));
    choices.push_back(static_cast<std::uint8_t>(at - upstreams.begin()));
    if (at == upstreams.end())
      upstreams.push_back(raw(it.Upstream));
    flows.push_back(raw(it.Flow));
  }
  return finish<wire::flow::Records>(
      b, wire::flow::CreateRecordsDirect(b, raw(m.Service), &upstreams, &flows,
                                         &choices, m.Complete));
}

auto decode(ByteView b, RecordsMessage &m) -> bool {
  const auto *root = verified<wire::flow::Records>(b);
  if (root == nullptr || root->upstreams() == nullptr ||
      root->flows() == nullptr || root->choices() == nullptr ||
      root->flows()->size() != root->choices()->size() ||
      root->flows()->size() > MaxRecords)
    return false;
  m.Service = ServiceId{root->service()};
  m.Complete = root->complete();
  for (flatbuffers::uoffset_t i = 0; i < root->flows()->size(); ++i) {
    const auto choice = root->choices()->Get(i);
    if (choice >= root->upstreams()->size())
      return false;
    m.Entries.push_back({FlowHash{root->flows()->Get(i)},
                         UpstreamId{root->upstreams()->Get(choice)}});
  }
  return true;
}

} // namespace boragebridge
