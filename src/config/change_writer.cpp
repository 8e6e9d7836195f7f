#include "config/change_writer.h"

#include "config/config_events.h"

#include <algorithm>

namespace boragebridge {

/// Records that are moved to a separate object when the log of the head is
/// full.
static constexpr std::size_t ArchiveBatch = LogLimit / 2;
static constexpr std::string_view ShardPrefix = "config/sheet/";
static constexpr std::string_view ArchivePrefix = "config/log/";

ChangeWriter::ChangeWriter(const ControllerContext &ctx,
                           BudgetedPlatform &platform,
                           const ConfigurationState &state,
                           std::function<void(const Head &)> onHead,
                           ChangeWriterSettings settings)
    : Ctx(ctx), Platform(platform), State(state), OnHead(std::move(onHead)),
      Settings(settings),
      Accepted(ctx.Metrics.counter("config_changes_accepted_total",
                                   "Changes that this instance accepted")),
      NotAccepted(
          ctx.Metrics.counter("config_changes_not_accepted_total",
                              "Changes that this instance did not accept")),
      InDoubtTotal(ctx.Metrics.counter("config_writes_in_doubt_total",
                                       "Writes whose answer was lost")) {}

auto ChangeWriter::submit(ChangeRequest request, ChangeDone done) -> void {
  auto it = std::find_if(Queue.begin(), Queue.end(), [&](const auto &e) {
    return e.Request.Id == request.Id;
  });
  if (it != Queue.end()) {
    it->Done.push_back(std::move(done));
    return;
  }
  if (Queue.size() >= Settings.QueueLimit) {
    NotAccepted.add();
    ChangeOutcome o;
    o.State = ChangeState::Overloaded;
    o.Detail = "too many changes wait at this instance";
    done(o);
    return;
  }
  Entry e;
  e.Request = std::move(request);
  e.Done.push_back(std::move(done));
  e.StartedAt = Ctx.Time.now();
  Queue.push_back(std::move(e));
}

auto ChangeWriter::isOpen(std::string_view id) const -> bool {
  return std::any_of(Queue.begin(), Queue.end(),
                     [id](const auto &e) { return e.Request.Id == id; });
}

auto ChangeWriter::tick(TimePoint now) -> void {
  removeOldShards(now);
  if (Queue.empty() || CurrentPhase == Phase::CallOpen || now < RetryAt)
    return;
  if (CurrentPhase == Phase::Idle)
    readHead();
  else if (CurrentPhase == Phase::AwaitingShards)
    prepareWrite();
  else
    writeNextShard();
}

auto ChangeWriter::readHead() -> void {
  CurrentPhase = Phase::CallOpen;
  Platform.get(std::string(HeadKey), [this](const auto &r) { onHeadRead(r); });
}

auto ChangeWriter::onHeadRead(const absl::StatusOr<StoredObject> &r) -> void {
  if (!r.ok() && !absl::IsNotFound(r.status())) {
    retryUnreachable(r.status());
    return;
  }
  StoredHead = {};
  StoredVersion = r.ok() ? r->Version : 0;
  if (r.ok() && !decodeHead(r->Value, StoredHead)) {
    ChangeOutcome o;
    o.State = ChangeState::Invalid;
    o.Detail = "the store's head is not readable";
    Ctx.Log.write(events::ConfigurationRefused, {{"source", "platform"}});
    finish(o);
    return;
  }
  auto &e = Queue.front();
  OnHead(StoredHead);
  if (const auto *known = StoredHead.findChange(e.Request.Id)) {
    accept(known->RevisionNumber);
    return;
  }
  // The head has changed since, so the in-doubt write can no longer take
  // effect.
  if (e.InDoubt && *e.InDoubt != StoredVersion)
    e.InDoubt.reset();
  CurrentPhase = Phase::AwaitingShards;
  prepareWrite();
}

auto ChangeWriter::prepareWrite() -> void {
  auto &e = Queue.front();
  if (State.revision() < StoredHead.RevisionNumber) {
    // Some shards of the head that was read have not arrived yet.
    if (Ctx.Time.now() - e.StartedAt > Settings.ChangeTimeout)
      retryUnreachable(absl::UnavailableError("shards not read in time"));
    return;
  }
  if (State.revision() > StoredHead.RevisionNumber) {
    if (Ctx.Time.now() - e.StartedAt > Settings.ChangeTimeout)
      Ctx.Log.write(events::StoreIsOlder,
                    {{"store", std::to_string(raw(StoredHead.RevisionNumber))},
                     {"here", std::to_string(raw(State.revision()))}});
    retryUnreachable(
        absl::FailedPreconditionError("the store holds an older revision"));
    return;
  }
  const auto rows = State.rows();
  if (const auto rejection = checkChange(e.Request, StoredHead, rows)) {
    finish(*rejection);
    return;
  }
  NextHead = StoredHead;
  applyRecord(NextHead, makeRecord(e.Request, StoredHead, rows));
  if (e.Request.Import)
    planShards();
  CurrentPhase = Phase::WritingShards;
  writeNextShard();
}

/// Shards with an unchanged text keep their key. The others get a key that only
/// this attempt uses, so that two attempts never write the same object.
auto ChangeWriter::planShards() -> void {
  ShardWrites.clear();
  NextHead.Shards.clear();
  const auto attempt = std::to_string(Ctx.Random.next());
  for (auto &text : splitIntoShards(*Queue.front().Request.Import)) {
    const auto same =
        std::find_if(StoredHead.Shards.begin(), StoredHead.Shards.end(),
                     [&](const auto &key) {
                       const auto *old = State.shard(key);
                       return old != nullptr && *old == text;
                     });
    if (same != StoredHead.Shards.end()) {
      NextHead.Shards.push_back(*same);
      continue;
    }
    auto key = std::string(ShardPrefix) + attempt + "/" +
               std::to_string(NextHead.Shards.size());
    NextHead.Shards.push_back(key);
    ShardWrites.push_back({std::move(key), std::move(text)});
  }
}

auto ChangeWriter::writeNextShard() -> void {
  if (ShardWrites.empty()) {
    writeArchive();
    return;
  }
  CurrentPhase = Phase::CallOpen;
  const auto &w = ShardWrites.front();
  Platform.put(
      w.Key, w.Text, 0, [this](const absl::StatusOr<ObjectVersion> &r) {
        // Aborted means that an earlier attempt of this write took effect.
        if (r.ok() || absl::IsAborted(r.status())) {
          ShardWrites.pop_front();
          CurrentPhase = Phase::WritingShards;
          writeNextShard();
          return;
        }
        if (Ctx.Time.now() - Queue.front().StartedAt > Settings.ChangeTimeout) {
          retryUnreachable(r.status());
          return;
        }
        CurrentPhase = Phase::WritingShards;
        RetryAt = Ctx.Time.now() + Ctx.Random.jitter(Settings.FirstRetry);
      });
}

auto ChangeWriter::writeArchive() -> void {
  if (StoredHead.Log.size() < LogLimit) {
    writeHead();
    return;
  }
  CurrentPhase = Phase::CallOpen;
  const std::vector<ChangeRecord> oldest(StoredHead.Log.begin(),
                                         StoredHead.Log.begin() + ArchiveBatch);
  const auto key = std::string(ArchivePrefix) +
                   std::to_string(raw(oldest.front().RevisionNumber));
  Platform.put(key, encodeRecords(oldest), 0,
               [this](const absl::StatusOr<ObjectVersion> &r) {
                 if (!r.ok() && !absl::IsAborted(r.status())) {
                   retryUnreachable(r.status());
                   return;
                 }
                 // applyRecord() has already removed the oldest record.
                 NextHead.Log.erase(NextHead.Log.begin(),
                                    NextHead.Log.begin() + ArchiveBatch - 1);
                 writeHead();
               });
}

auto ChangeWriter::writeHead() -> void {
  CurrentPhase = Phase::CallOpen;
  Platform.put(std::string(HeadKey), encodeHead(NextHead), StoredVersion,
               [this](const auto &r) { onHeadWritten(r.status()); });
}

auto ChangeWriter::onHeadWritten(const absl::Status &s) -> void {
  auto &e = Queue.front();
  if (s.ok()) {
    for (const auto &key : StoredHead.Shards)
      if (std::find(NextHead.Shards.begin(), NextHead.Shards.end(), key) ==
          NextHead.Shards.end())
        OldShards.push_back({key, Ctx.Time.now() + Settings.RemoveShardsAfter});
    OnHead(NextHead);
    accept(NextHead.RevisionNumber);
    return;
  }
  if (absl::IsDeadlineExceeded(s)) {
    e.InDoubt = StoredVersion;
    InDoubtTotal.add();
    Ctx.Log.write(events::ChangeInDoubt, {{"change", e.Request.Id}});
    retry();
    return;
  }
  if (absl::IsAborted(s)) {
    retry();
    return;
  }
  retryUnreachable(s);
}

auto ChangeWriter::retry() -> void {
  constexpr unsigned MaxDoublings = 10;
  auto &e = Queue.front();
  const auto delay = std::min(Settings.MaxRetry,
                              Settings.FirstRetry *
                                  (1U << std::min(e.Attempts, MaxDoublings)));
  ++e.Attempts;
  ShardWrites.clear();
  CurrentPhase = Phase::Idle;
  RetryAt = Ctx.Time.now() + Ctx.Random.jitter(delay);
}

auto ChangeWriter::retryUnreachable(const absl::Status &s) -> void {
  const auto &e = Queue.front();
  if (e.InDoubt || Ctx.Time.now() - e.StartedAt < Settings.ChangeTimeout) {
    retry();
    return;
  }
  ChangeOutcome o;
  o.State = ChangeState::Unreachable;
  o.Detail =
      "not accepted: platform unreachable (" + std::string(s.message()) + ")";
  finish(o);
}

auto ChangeWriter::accept(Revision n) -> void {
  ChangeOutcome o;
  o.State = ChangeState::Accepted;
  o.RevisionNumber = n;
  if (Queue.front().Request.Import)
    o.Kept = keptEntries(StoredHead);
  finish(o);
}

auto ChangeWriter::finish(const ChangeOutcome &o) -> void {
  auto e = std::move(Queue.front());
  Queue.pop_front();
  ShardWrites.clear();
  CurrentPhase = Phase::Idle;
  const auto accepted = o.State == ChangeState::Accepted;
  (accepted ? Accepted : NotAccepted).add();
  Ctx.Log.write(accepted ? events::ChangeAccepted : events::ChangeNotAccepted,
                {{"change", e.Request.Id},
                 {"actor", e.Request.Actor},
                 {"revision", std::to_string(raw(o.RevisionNumber))},
                 {"detail", o.Detail}});
  for (const auto &it : e.Done)
    it(o);
}

auto ChangeWriter::removeOldShards(TimePoint now) -> void {
  if (OldShards.empty() || OldShards.front().RemoveAt > now ||
      !Platform.mayCallInBackground())
    return;
  const auto key = OldShards.front().Key;
  OldShards.pop_front();
  Platform.get(key, [this, key](absl::StatusOr<StoredObject> r) {
    if (r.ok())
      Platform.remove(key, r->Version, [](const auto &) {});
  });
}

} // namespace boragebridge
