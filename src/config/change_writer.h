/// \file
/// Writes operators' changes to the store, one at a time. Each change reads the
/// head, is checked, writes new shards and then writes the head on condition
/// that its version is unchanged. When the answer to the write of the head is
/// lost, the writer reads the head again and reports the outcome only then.
#ifndef BORAGEBRIDGE_CONFIG_CHANGE_WRITER_H
#define BORAGEBRIDGE_CONFIG_CHANGE_WRITER_H

#include "config/change.h"
#include "config/configuration_state.h"
#include "store/budgeted_platform.h"

namespace boragebridge {

/// Limits and timing of a ChangeWriter.
struct ChangeWriterSettings {
  /// Changes that may wait at once, the one being written included.
  std::size_t QueueLimit = 64;
  /// A change that was certainly not written is reported as unreachable when it
  /// is older than this.
  Duration ChangeTimeout = std::chrono::seconds(2);
  /// Delay before the first retry; it doubles up to MaxRetry.
  Duration FirstRetry = std::chrono::milliseconds(20);
  Duration MaxRetry = std::chrono::milliseconds(200);
  /// Replaced shards are kept this long, for instances that still read them.
  Duration RemoveShardsAfter = std::chrono::seconds(60);
};

/// Queues changes and writes them to the store. Not thread-safe. Every
/// reference outlives the writer.
class ChangeWriter {
public:
  /// \p onHead is called with every head that the writer reads or writes. It
  /// has to update \p state with that head and fetch the missing shards.
  ChangeWriter(const ControllerContext &ctx, BudgetedPlatform &platform,
               const ConfigurationState &state,
               std::function<void(const Head &)> onHead,
               ChangeWriterSettings settings = {});

  /// Queues \p request. \p done is called once, when the outcome is known, or
  /// at once when the queue is full. A request whose identifier is already
  /// queued is not queued again; its \p done is called with the same outcome.
  auto submit(ChangeRequest request, ChangeDone done) -> void;
  /// Whether a change with \p id is queued or being written.
  auto isOpen(std::string_view id) const -> bool;
  auto openCount() const -> std::size_t { return Queue.size(); }
  /// Continues with the first queued change and removes replaced shards that
  /// are due. Call every few tens of milliseconds.
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
    /// The version of the head on which an in-doubt write was conditional.
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
  /// Checks the first change against the head that was read and starts its
  /// writes, once the shards of that head are known.
  auto prepareWrite() -> void;
  auto planShards() -> void;
  auto writeNextShard() -> void;
  auto writeArchive() -> void;
  auto writeHead() -> void;
  auto onHeadWritten(const absl::Status &s) -> void;
  auto retry() -> void;
  /// Retries the change after a failure to reach the store, or reports it as
  /// unreachable after ChangeTimeout. An in-doubt change is always retried.
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
  /// The head that was last read from the store, and its version there.
  Head StoredHead;
  ObjectVersion StoredVersion = 0;
  /// The head that the change being written produces.
  Head NextHead;
  std::deque<ShardWrite> ShardWrites;
  std::deque<OldShard> OldShards;
  Counter &Accepted;
  Counter &NotAccepted;
  Counter &InDoubtTotal;
};

} // namespace boragebridge

#endif
