/// \file
/// From whom an instance reads its views: the instances of a data centre form
/// a tree by rank, the strongest at its root. The root reads the store, every
/// other reads the mirror of its parent. So the store's load grows with the
/// data centres, and nobody serves more than Fanout readers.
///
/// Instances that know different members may differ in their trees; that does
/// no harm, as every mirror tells whether its view is confirmed. A parent ranks
/// before its children, so there is no cycle.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_MIRROR_TREE_H
#define BORAGEBRIDGE_EDGE_MIRROR_TREE_H

#include "boragebridge/types.h"

#include "absl/status/statusor.h"

#include <map>
#include <optional>

namespace boragebridge {

/// What an instance puts on record of itself.
struct MemberRecord {
  std::string Name;
  DataCentreId DataCentre{};
  /// Of its mirror; port 0: it has none.
  Endpoint Address;
  /// Processor time that it has, in thousandths of a core.
  unsigned Capacity = 0;

  auto operator==(const MemberRecord &) const -> bool = default;
};

/// The text of \p m as the store keeps it, without its name.
auto formatMember(const MemberRecord &m) -> std::string;
/// The reverse; InvalidArgument for anything else.
auto parseMember(const std::string &name, const std::string &text)
    -> absl::StatusOr<MemberRecord>;

struct MirrorTreeOptions {
  std::size_t Fanout = 8;
  /// How long a member that did not answer is taken for down.
  Duration DownTimeout = std::chrono::seconds(10);
};

class MirrorTree {
public:
  explicit MirrorTree(MemberRecord self, MirrorTreeOptions opt = {})
      : Self(std::move(self)), Options(opt) {}

  /// All members on record, this instance or not.
  auto setMembers(const std::vector<MemberRecord> &all) -> void;
  /// The mirror at \p address did not answer.
  auto markDown(const Endpoint &address, TimePoint now) -> void;
  /// Whose mirror to read; nothing: the store.
  auto parent(TimePoint now) -> std::optional<Endpoint>;

private:
  MemberRecord Self;
  MirrorTreeOptions Options;
  /// The own data centre's members, by rank; this instance is among them.
  std::vector<MemberRecord> Ranked;
  std::map<Endpoint, TimePoint> DownUntil;
};

} // namespace boragebridge

#endif
