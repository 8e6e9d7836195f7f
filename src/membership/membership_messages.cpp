#include "membership/membership_messages.h"

#include "membership/membership_generated.h"

namespace boragebridge {

namespace codec = wire::membership;

static auto toWire(const MemberUpdate &u) -> codec::Update {
  const auto &m = u.Subject;
  return {raw(m.Id),
          raw(m.IncarnationNumber),
          raw(m.DataCentre),
          u.Version,
          m.PeerAddress.Address,
          m.PeerAddress.Port,
          static_cast<std::uint8_t>(m.State)};
}

static auto fromWire(const codec::Update &u) -> MemberUpdate {
  return {{InstanceId{u.id()}, Incarnation{u.incarnation()},
           DataCentreId{u.data_centre()}, Endpoint{u.address(), u.port()},
           static_cast<MemberState>(u.state())},
          u.counter()};
}

auto encodeMembership(const MembershipMessage &m) -> Bytes {
  flatbuffers::FlatBufferBuilder b;
  std::vector<codec::Update> updates;
  updates.reserve(m.Updates.size());
  for (const auto &it : m.Updates)
    updates.push_back(toWire(it));
  const auto buckets = m.Buckets.empty() ? 0 : b.CreateVector(m.Buckets);
  const auto body = b.CreateVectorOfStructs(updates);
  b.Finish(codec::CreateMessage(b, m.Nonce, m.Target.Address, m.Target.Port,
                                m.Digest, buckets, body));
  const auto *data = reinterpret_cast<const std::byte *>(b.GetBufferPointer());
  return {data, data + b.GetSize()};
}

auto decodeMembership(ByteView body, MembershipMessage &m) -> bool {
  flatbuffers::Verifier v(reinterpret_cast<const std::uint8_t *>(body.data()),
                          body.size());
  if (!v.VerifyBuffer<codec::Message>(nullptr))
    return false;
  const auto *in = flatbuffers::GetRoot<codec::Message>(body.data());
  m.Nonce = in->nonce();
  m.Target = {in->target_address(), in->target_port()};
  m.Digest = in->digest();
  if (const auto *buckets = in->bucket_digests(); buckets != nullptr) {
    if (buckets->size() != MemberTable::BucketCount)
      return false;
    m.Buckets.assign(buckets->begin(), buckets->end());
  }
  if (in->updates() == nullptr)
    return true;
  if (in->updates()->size() > MemberTable::Limit)
    return false;
  for (const auto *it : *in->updates()) {
    if (it->state() > static_cast<std::uint8_t>(MemberState::Dead))
      return false;
    m.Updates.push_back(fromWire(*it));
  }
  return true;
}

} // namespace boragebridge
