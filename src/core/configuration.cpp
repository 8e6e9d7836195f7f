#include "boragebridge/configuration.h"

#include "boragebridge/blackboard.h"

#include <algorithm>

namespace boragebridge {

template <typename T, typename Id>
static auto findById(const std::vector<T> &all, Id id) -> const T * {
  auto it = std::find_if(all.begin(), all.end(),
                         [id](const T &v) { return v.Id == id; });
  return it == all.end() ? nullptr : &*it;
}

auto Configuration::findDataCentre(DataCentreId id) const
    -> const DataCentre * {
  return findById(DataCentres, id);
}

auto Configuration::findService(ServiceId id) const -> const Service * {
  return findById(Services, id);
}

auto Configuration::findUpstream(UpstreamId id) const -> const Upstream * {
  return findById(Upstreams, id);
}

auto Configuration::isWithdrawn(DataCentreId id) const -> bool {
  const auto *dc = findDataCentre(id);
  return dc != nullptr && dc->Withdrawn;
}

auto MembershipView::find(InstanceId id) const -> const Member * {
  return findById(Members, id);
}

} // namespace boragebridge
