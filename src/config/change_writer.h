/// \file
/// Carries operators' changes into the store, one at a time: read the head,
/// check, write the shards, write the head conditionally. A write whose answer
/// was lost is settled by reading back before anything is said about it.
#ifndef BORAGEBRIDGE_CONFIG_CHANGE_WRITER_H
#define BORAGEBRIDGE_CONFIG_CHANGE_WRITER_H

#include "config/change.h"
#include "config/configuration_state.h"
#include "store/budgeted_platform.h"

namespace boragebridge {

/// Limits of the writer.
struct ChangeWriterSettings {
  std::size_t QueueLimit = 64;
  /// After this a change that surely was not written is given up.
  Duration ChangeTimeout = std::chrono::seconds(2);
  Duration FirstRetry = std::chrono::milliseconds(20);
  Duration MaxRetry = std::chrono::milliseconds(200);
  /// For a change in doubt that is older than ChangeTimeout.
  Duration MaxLateRetry = std::chrono::seconds(2);
  /// Replaced shards stay this long for instances that still read them.
  Duration RemoveShardsAfter = std::chrono::seconds(60);
};

/// Not thread-safe. Every reference outlives the writer.
class ChangeWriter {
public:
  /// \p onHead gets every head that was read or written; it offers it to
  /// \p state and has missing shards fetched.
  ChangeWriter(const ControllerContext &ctx, BudgetedPlatform &platform,
               const ConfigurationState &state,
               std::function<void(const Head &)> onHead,
               ChangeWriterSettings settings = {});

  /// Queues \p request. \p done is called once, when the fate is known. The
  /// same identifier again joins the change in progress.
  auto submit(ChangeRequest request, ChangeDone done) -> void;
  /// Whether a change with \p id waits or is being written.
  auto isOpen(std::string_view id) const -> bool;
  auto openCount() const -> std::size_t { return Queue.size(); }
  auto tick(TimePoint now) -> void;

private:
  enum class Phase : std::uint8_t {
    Idle,
    AwaitingShards,
    WritingShards,
    CallOpen
  };
  struct Entry {
    ChangeRequest Request;
    std::vector<ChangeDone> Done;
    TimePoint StartedAt;
    unsigned Attempts = 0;
    /// The head's version that a write of unknown fate expected.
    std::optional<ObjectVersion> InDoubt;
  };
  struct ShardWrite {
    std::string Key;
    std::string Text;
  };
  struct OldShard {
    std::string Key;
    TimePoint RemoveAt;
  };

  auto readHead() -> void;
  auto onHeadRead(const absl::StatusOr<StoredObject> &r) -> void;
  auto prepareWrite() -> void;
  auto planShards() -> void;
  auto writeNextShard() -> void;
  auto writeArchive() -> void;
  auto writeHead() -> void;
  auto onHeadWritten(const absl::Status &s) -> void;
  auto retry() -> void;
  /// Gives up or retries after a failure to reach the store.
  auto retryUnreachable(const absl::Status &s) -> void;
  auto finish(const ChangeOutcome &o) -> void;
  auto accept(Revision n) -> void;
  auto removeOldShards(TimePoint now) -> void;

  const ControllerContext &Ctx;
  BudgetedPlatform &Platform;
  const ConfigurationState &State;
  std::function<void(const Head &)> OnHead;
  ChangeWriterSettings Settings;
  std::deque<Entry> Queue;
  Phase CurrentPhase = Phase::Idle;
  TimePoint RetryAt;
  /// The head as the store holds it, and its version there.
  Head StoredHead;
  ObjectVersion StoredVersion = 0;
  /// The head that is being written.
  Head NextHead;
  std::deque<ShardWrite> ShardWrites;
  std::deque<OldShard> OldShards;
  Counter &Accepted;
  Counter &NotAccepted;
  Counter &InDoubtTotal;
};

} // namespace boragebridge

#endif
