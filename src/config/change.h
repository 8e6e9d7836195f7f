/// \file
/// A configuration change that an operator requests, its outcome, and the
/// checks before it is written: permissions, references, conflicts and
/// confirmation.
#ifndef BORAGEBRIDGE_CONFIG_CHANGE_H
#define BORAGEBRIDGE_CONFIG_CHANGE_H

#include "config/head.h"

#include <functional>
#include <optional>

namespace boragebridge {

/// A change as an operator submits it: either urgent operations or a new sheet.
struct ChangeRequest {
  /// Chosen by the caller. A change with the same identifier is applied once.
  std::string Id;
  std::string Actor;
  /// The team of the actor; empty for a platform-wide role.
  std::string Team;
  /// Seconds since 1970; see ChangeRecord::At.
  std::int64_t At = 0;
  /// The revision that the operator has seen. The change conflicts when a later
  /// revision changed the same entries.
  Revision Base{};
  /// Urgent operations; empty when Import is set.
  std::vector<Operation> Operations;
  /// A new sheet layer.
  std::optional<Sheet> Import;
  /// Whether the operator has confirmed the removal of a large share of the
  /// upstreams.
  bool Confirmed = false;
};

/// The outcome of a change, or Pending while it is unknown.
enum class ChangeState : std::uint8_t {
  Accepted,
  Pending,           ///< The outcome of the write is not known yet.
  Conflict,          ///< Another accepted change modified the same entries.
  NeedsConfirmation, ///< Removes many upstreams and was not confirmed.
  Forbidden,         ///< The entry does not belong to the actor's team.
  Invalid,
  Unreachable, ///< Not accepted: the store could not be reached.
  Overloaded,  ///< Not accepted: the queue of changes is full.
};

/// The result of a change, as reported to the operator.
struct ChangeOutcome {
  ChangeState State = ChangeState::Pending;
  /// Accepted: the revision that the change produced.
  Revision RevisionNumber{};
  /// Why the change was not accepted, for people.
  std::string Detail;
  /// Conflict: the accepted change that modified the same entries.
  std::optional<ChangeRecord> Other;
  /// Import: urgent entries that still override the new sheet.
  std::vector<std::string> Kept;
};

using ChangeDone = std::function<void(const ChangeOutcome &)>;

/// Share of the upstreams that an import may remove without confirmation.
inline constexpr double UnconfirmedRemovalShare = 0.2;

/// Checks \p request against the newest head and the rows of its sheet layer.
/// Returns std::nullopt when the change may be written, else the outcome that
/// refuses it.
auto checkChange(const ChangeRequest &request, const Head &head,
                 const Sheet &rows) -> std::optional<ChangeOutcome>;

/// Returns the record with which \p request becomes the revision after \p head.
auto makeRecord(const ChangeRequest &request, const Head &head,
                const Sheet &rows) -> ChangeRecord;

/// Returns the urgent entries of \p head, which an import leaves in force, as
/// "TARGET ACTION".
auto keptEntries(const Head &head) -> std::vector<std::string>;

} // namespace boragebridge

#endif
