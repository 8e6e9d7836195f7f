#include "store/parent_list.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

auto ParentListReader::list(const std::string &prefix, Callback done) -> void {
  if (!Platform.hasParent())
    return Platform.list(prefix, std::move(done));
  const auto id = ++LastId;
  const auto timeout =
      std::clamp<Duration>(Members * Options.TimeoutPerMember,
                           Options.MinTimeout, Options.MaxTimeout);
  PendingLists[id] = {prefix, std::move(done), Time.now() + timeout};
  askParent(id);
}

auto ParentListReader::askParent(PendingId id) -> void {
  auto &p = PendingLists.at(id);
  p.NextCall.reset();
  Platform.listParent(p.Prefix, [this, id, alive = std::weak_ptr<bool>(Alive)](
                                    absl::StatusOr<ObjectList> r) {
    if (!alive.expired())
      onAnswer(id, std::move(r));
  });
}

auto ParentListReader::onAnswer(PendingId id, absl::StatusOr<ObjectList> r)
    -> void {
  const auto it = PendingLists.find(id);
  if (it == PendingLists.end())
    return;
  if (r.ok()) {
    auto done = std::move(it->second.Done);
    PendingLists.erase(it);
    return done(std::move(r));
  }
  // The parent may just have started: it does not listen, or has no view yet.
  const auto mayRecover =
      absl::IsUnavailable(r.status()) || absl::IsFailedPrecondition(r.status());
  const auto next = Time.now() + Options.RetryInterval;
  if (mayRecover && next < it->second.Deadline)
    it->second.NextCall = next;
  else
    readStore(id);
}

auto ParentListReader::readStore(PendingId id) -> void {
  auto node = PendingLists.extract(id);
  if (!node.empty())
    Platform.listStore(node.mapped().Prefix, std::move(node.mapped().Done));
}

auto ParentListReader::tick(TimePoint now) -> void {
  std::vector<PendingId> late;
  std::vector<PendingId> due;
  for (const auto &[id, it] : PendingLists) {
    if (now >= it.Deadline || !Platform.hasParent())
      late.push_back(id);
    else if (it.NextCall && now >= *it.NextCall)
      due.push_back(id);
  }
  for (const auto id : late)
    readStore(id);
  for (const auto id : due)
    askParent(id);
}

} // namespace boragebridge
