/// \file
/// A change that an operator asks for, what becomes of it, and the rules that
/// decide: permissions, references, conflicts, confirmation.
#ifndef BORAGEBRIDGE_CONFIG_CHANGE_H
#define BORAGEBRIDGE_CONFIG_CHANGE_H

#include "config/head.h"

#include <functional>
#include <optional>

namespace boragebridge {

/// What an operator asks for.
struct ChangeRequest {
  std::string Id;
  std::string Actor;
  /// Empty: a platform-wide role.
  std::string Team;
  std::int64_t At = 0;
  /// The revision that the operator looked at.
  Revision Base{};
  /// Urgent operations; empty for an import.
  std::vector<Operation> Operations;
  /// A new sheet layer.
  std::optional<Sheet> Import;
  /// Large removals are meant.
  bool Confirmed = false;
};

/// How a change ended, or that it has not ended yet.
enum class ChangeState : std::uint8_t {
  Accepted,
  Pending,           ///< The fate of the write is not known yet.
  Conflict,          ///< Touches what another accepted change touched.
  NeedsConfirmation, ///< Would remove a large part.
  Forbidden,         ///< Not this team's.
  Invalid,
  Unreachable, ///< Not accepted: platform unreachable.
  Overloaded,  ///< Not accepted: too many changes at once.
};

struct ChangeOutcome {
  ChangeState State = ChangeState::Pending;
  Revision Number{};
  std::string Detail;
  /// Conflict: the change that is in the way.
  std::optional<ChangeRecord> Other;
  /// Import: urgent entries that stay in force over the sheet.
  std::vector<std::string> Kept;
};

using ChangeDone = std::function<void(const ChangeOutcome &)>;

/// Share of the upstreams that an import may remove without confirmation.
inline constexpr double UnconfirmedRemovalShare = 0.2;

/// Decides \p request against the newest head and its sheet rows. Returns null
/// when it may be written.
auto checkChange(const ChangeRequest &request, const Head &head,
                 const Sheet &rows) -> std::optional<ChangeOutcome>;

/// The record that accepting \p request on \p head makes.
auto makeRecord(const ChangeRequest &request, const Head &head,
                const Sheet &rows) -> ChangeRecord;

/// The urgent entries that a sheet says nothing about undoing.
auto keptEntries(const Head &head) -> std::vector<std::string>;

} // namespace boragebridge

#endif
