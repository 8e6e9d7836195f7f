/// \file
/// Determines the instance from which this instance reads its views of the
/// store. The instances of a data centre form a tree by rank, with the highest
/// capacity at the root. The root reads the store, and every other instance
/// reads the mirror of its parent. The load of the store thus grows with the
/// number of data centres. An instance serves Fanout readers, and more only
/// while members of its rank or above are down.
///
/// Instances with different member lists may compute different trees. This is
/// harmless, because every mirror reports whether its view is confirmed. A
/// parent ranks before its children, so there is no cycle.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_MIRROR_TREE_H
#define BORAGEBRIDGE_EDGE_MIRROR_TREE_H

#include "boragebridge/types.h"

#include "absl/status/statusor.h"

#include <map>
#include <optional>

namespace boragebridge {

/// The record that an instance registers.
struct MemberRecord {
  std::string Name;
  DataCentreId DataCentre{};
  /// Address of its mirror; port 0: it has none.
  Endpoint Address;
  /// Processor time available to it, in thousandths of a core.
  unsigned Capacity = 0;

  auto operator==(const MemberRecord &) const -> bool = default;
};

/// The text of \p m as it is stored, without its name.
auto formatMember(const MemberRecord &m) -> std::string;
/// The inverse of formatMember(); InvalidArgument for any other text.
auto parseMember(const std::string &name, const std::string &text)
    -> absl::StatusOr<MemberRecord>;

struct MirrorTreeOptions {
  std::size_t Fanout = 8;
  /// How long a member that did not answer is considered down.
  Duration DownTimeout = std::chrono::seconds(10);
};

class MirrorTree {
public:
  explicit MirrorTree(MemberRecord self, MirrorTreeOptions opt = {})
      : Self(std::move(self)), Options(opt) {}

  /// Replaces the registered members; \p all may include this instance.
  auto setMembers(const std::vector<MemberRecord> &all) -> void;
  /// The mirror at \p address did not answer.
  auto markDown(const Endpoint &address, TimePoint now) -> void;
  /// Address of the mirror to read; unset: this instance reads the store.
  auto parent(TimePoint now) -> std::optional<Endpoint>;

private:
  MemberRecord Self;
  MirrorTreeOptions Options;
  /// The members of the local data centre by rank, including this instance.
  std::vector<MemberRecord> Ranked;
  std::map<Endpoint, TimePoint> DownUntil;
};

} // namespace boragebridge

#endif
