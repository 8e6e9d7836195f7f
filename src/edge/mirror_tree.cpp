#include "edge/mirror_tree.h"

#include "net/json_text.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace boragebridge {

namespace json = boost::json;

auto formatMember(const MemberRecord &m) -> std::string {
  return json::serialize(json::object{{"address", toString(m.Address)},
                                      {"data_centre", raw(m.DataCentre)},
                                      {"strength", m.Capacity}});
}

auto parseMember(const std::string &name, const std::string &text)
    -> absl::StatusOr<MemberRecord> {
  return readJson(text, [&](const json::value &v) {
    MemberRecord m;
    m.Name = name;
    if (!parseEndpoint(json::value_to<std::string>(v.at("address")), m.Address))
      throw std::invalid_argument("address is not IP:PORT");
    m.DataCentre = DataCentreId{v.at("data_centre").to_number<std::uint64_t>()};
    m.Capacity = v.at("strength").to_number<unsigned>();
    return m;
  });
}

auto MirrorTree::setMembers(const std::vector<MemberRecord> &all) -> void {
  Ranked.clear();
  // This instance has the rank that the others give it. With the rank of its
  // settings, it and another one could each take the other as parent after its
  // capacity has changed.
  auto self = Self;
  for (const auto &it : all) {
    if (it.Name == Self.Name)
      self.Capacity = it.Capacity;
    else if (it.DataCentre == Self.DataCentre && it.Address.Port != 0)
      Ranked.push_back(it);
  }
  Ranked.push_back(self);
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &a, const auto &b) {
    return std::make_tuple(b.Capacity, hashName(a.Name), a.Name) <
           std::make_tuple(a.Capacity, hashName(b.Name), b.Name);
  });
}

auto MirrorTree::markDown(const Endpoint &address, TimePoint now) -> void {
  DownUntil[address] = now + Options.DownTimeout;
}

auto MirrorTree::parent(TimePoint now) -> std::optional<Endpoint> {
  std::erase_if(DownUntil, [&](const auto &it) { return it.second <= now; });
  std::vector<const MemberRecord *> rankedBefore;
  for (const auto &it : Ranked) {
    if (it.Name == Self.Name)
      break;
    if (!DownUntil.contains(it.Address))
      rankedBefore.push_back(&it);
  }
  // The number of members that rank before this instance is its rank. The
  // instance with rank 0 is the root.
  if (rankedBefore.empty())
    return std::nullopt;
  return rankedBefore[(rankedBefore.size() - 1) / Options.Fanout]->Address;
}

} // namespace boragebridge
