#include "config/configuration_controller.h"

#include "config/config_events.h"
#include "config/config_generated.h"

#include <boost/json.hpp>

#include <algorithm>

namespace boragebridge {

namespace codec = wire::config;

namespace {

/// Message numbers within MessageFamily::Configuration.
enum class ConfigurationKind : std::uint8_t {
  Digest = 1,
  Fetch = 2,
  Head = 3,
  Shard = 4,
  Delta = 5,
};

/// Change records in a head that is sent to a peer. With them, the peer can
/// send deltas itself.
constexpr std::size_t RecordsPerHeadMessage = 32;
/// Shards sent in answer to one fetch. The receiver fetches the others again.
constexpr std::size_t ShardsPerFetch = 16;
constexpr std::size_t BootstrapPeers = 16;
constexpr std::size_t MissingLimit = 256;
constexpr std::size_t HolderQueryLimit = 16;
constexpr std::size_t PeerRevisionLimit = 32768;

auto kindOf(ConfigurationKind k) -> std::uint16_t {
  return messageKind(MessageFamily::Configuration,
                     static_cast<std::uint8_t>(k));
}

auto finish(flatbuffers::FlatBufferBuilder &b) -> Bytes {
  const auto *data = reinterpret_cast<const std::byte *>(b.GetBufferPointer());
  return {data, data + b.GetSize()};
}

/// Returns the FlatBuffers table in \p body, or null when it is malformed.
template <typename Table> auto verify(const Bytes &body) -> const Table * {
  flatbuffers::Verifier v(reinterpret_cast<const std::uint8_t *>(body.data()),
                          body.size());
  return v.VerifyBuffer<Table>(nullptr)
             ? flatbuffers::GetRoot<Table>(body.data())
             : nullptr;
}

} // namespace

ConfigurationController::ConfigurationController(
    const ControllerContext &ctx, std::shared_ptr<BudgetedPlatform> platform,
    ConfigurationSettings settings)
    : Ctx(ctx), Platform(std::move(platform)), Settings(settings),
      Writer(ctx, *Platform, State,
             [this](const Head &h) { onPlatformHead(h); }) {}

ConfigurationController::~ConfigurationController() = default;

auto ConfigurationController::start() -> void {
  StartedAt = Ctx.Time.now();
  NextBootstrap = StartedAt;
  NextDigest = StartedAt + Ctx.Random.jitter(Settings.DigestPeriod);
}

auto ConfigurationController::tick(TimePoint now) -> void {
  bootstrap(now);
  compareWithPeer(now);
  fetchMissing(now);
  runWatch();
  Writer.tick(now);
  finishHolderQueries(now);
  updateReadiness(now);
}

auto ConfigurationController::bootstrap(TimePoint now) -> void {
  if (Ready || now < NextBootstrap)
    return;
  NextBootstrap = now + Ctx.Random.jitter(Settings.BootstrapRetry);
  for (const auto &it : Ctx.Self.Seeds)
    if (AskedPeers.size() < BootstrapPeers && it != Ctx.Self.PeerAddress)
      AskedPeers.insert(it);
  for (const auto &it : livePeers())
    if (AskedPeers.size() < BootstrapPeers)
      AskedPeers.insert(it.PeerAddress);
  for (const auto &it : AskedPeers)
    if (!AnsweredPeers.contains(it))
      sendDigest(it, true);
  if (!PlatformAnswered)
    readHead();
}

auto ConfigurationController::updateReadiness(TimePoint now) -> void {
  if (!Ready && State.revision() != Revision{} &&
      State.newestRevision() == State.revision()) {
    const auto allAnswered =
        !AskedPeers.empty() && AnsweredPeers.size() >= AskedPeers.size();
    const auto timedOut = now >= StartedAt + Settings.BootstrapWait;
    Ready = PlatformAnswered || allAnswered || timedOut;
    if (Ready)
      Ctx.Log.write(events::ReadyToServe,
                    {{"revision", std::to_string(raw(State.revision()))}});
  }
  const auto old = Ctx.Board.Readiness.read();
  const auto reachable = Platform->isReachable();
  if (old->MayServe != Ready || old->PlatformReachable != reachable)
    Ctx.Board.Readiness.publish({Ready, reachable});
}

auto ConfigurationController::livePeers() const -> std::vector<Member> {
  std::vector<Member> live;
  for (const auto &it : Ctx.Board.Membership.read()->Members)
    if (it.Id != Ctx.Self.Id && it.State != MemberState::Dead)
      live.push_back(it);
  return live;
}

auto ConfigurationController::sendDigest(const Endpoint &to, bool answerWanted)
    -> void {
  flatbuffers::FlatBufferBuilder b;
  b.Finish(codec::CreateDigest(b, raw(State.revision()), answerWanted));
  Ctx.Peers.send(to, kindOf(ConfigurationKind::Digest), finish(b));
}

auto ConfigurationController::sendFetch(const Endpoint &to,
                                        const std::vector<std::string> &shards)
    -> void {
  flatbuffers::FlatBufferBuilder b;
  const auto keys = b.CreateVectorOfStrings(shards);
  b.Finish(codec::CreateFetch(b, raw(State.revision()), keys));
  Ctx.Peers.send(to, kindOf(ConfigurationKind::Fetch), finish(b));
}

auto ConfigurationController::announceRevision() -> void {
  announceTo(true, Settings.LocalFanOut);
  announceTo(false, Settings.RemoteFanOut);
}

auto ConfigurationController::announceTo(bool local, std::size_t n) -> void {
  auto peers = livePeers();
  std::erase_if(peers, [&](const auto &it) {
    return (it.DataCentre == Ctx.Self.DataCentre) != local;
  });
  for (std::size_t k = 0; k < std::min(n, peers.size()); ++k) {
    std::swap(peers[k], peers[k + Ctx.Random.below(peers.size() - k)]);
    sendDigest(peers[k].PeerAddress, false);
  }
}

auto ConfigurationController::compareWithPeer(TimePoint now) -> void {
  if (now < NextDigest)
    return;
  NextDigest = now + Ctx.Random.jitter(Settings.DigestPeriod);
  const auto peers = livePeers();
  if (!peers.empty())
    sendDigest(peers[Ctx.Random.below(peers.size())].PeerAddress, false);
}

auto ConfigurationController::onPeerFrame(const PeerFrame &f) -> bool {
  static constexpr std::array<Handler, 5> Handlers{
      &ConfigurationController::onDigest, &ConfigurationController::onFetch,
      &ConfigurationController::onHeadFrame, &ConfigurationController::onShard,
      &ConfigurationController::onDelta};
  const auto number = static_cast<std::size_t>(f.Kind & 0xFFU);
  if (number == 0 || number > Handlers.size())
    return false;
  return (this->*Handlers[number - 1])(f);
}

auto ConfigurationController::onDigest(const PeerFrame &f) -> bool {
  const auto *in = verify<codec::Digest>(f.Body);
  if (in == nullptr)
    return false;
  const Revision peerRevision{in->revision()};
  if (PeerRevisions.size() < PeerRevisionLimit ||
      PeerRevisions.contains(f.Sender))
    PeerRevisions[f.Sender] = {f.SenderIncarnation, peerRevision};
  if (AskedPeers.contains(f.SenderAddress))
    AnsweredPeers.insert(f.SenderAddress);
  if (in->answer_wanted() || peerRevision < State.revision())
    sendDigest(f.SenderAddress, false);
  const auto now = Ctx.Time.now();
  if (peerRevision <= State.newestRevision() ||
      (peerRevision <= FetchingRevision && now < FetchUntil))
    return true;
  FetchingRevision = peerRevision;
  FetchUntil = now + Settings.FetchTimeout;
  sendFetch(f.SenderAddress, {});
  return true;
}

auto ConfigurationController::onFetch(const PeerFrame &f) -> bool {
  const auto *in = verify<codec::Fetch>(f.Body);
  if (in == nullptr ||
      (in->shard_keys() != nullptr && in->shard_keys()->size() > ShardLimit))
    return false;
  flatbuffers::FlatBufferBuilder b;
  if (in->shard_keys() != nullptr && in->shard_keys()->size() > 0) {
    std::size_t sent = 0;
    for (const auto *key : *in->shard_keys()) {
      const auto *text = State.shard(key->str());
      if (text == nullptr || sent++ >= ShardsPerFetch)
        continue;
      b.Clear();
      const auto k = b.CreateString(key->str());
      const auto t = b.CreateString(*text);
      b.Finish(codec::CreateShard(b, k, t));
      Ctx.Peers.send(f.SenderAddress, kindOf(ConfigurationKind::Shard),
                     finish(b));
    }
    return true;
  }
  const Revision known{in->known_revision()};
  if (known >= State.revision())
    return true;
  if (const auto records = State.recordsAfter(known)) {
    const auto text = b.CreateString(encodeRecords(*records));
    b.Finish(codec::CreateDelta(b, raw(known), text));
    Ctx.Peers.send(f.SenderAddress, kindOf(ConfigurationKind::Delta),
                   finish(b));
    return true;
  }
  const auto text =
      b.CreateString(encodeHead(State.head(), RecordsPerHeadMessage));
  b.Finish(codec::CreateHead(b, text));
  Ctx.Peers.send(f.SenderAddress, kindOf(ConfigurationKind::Head), finish(b));
  return true;
}

auto ConfigurationController::onHeadFrame(const PeerFrame &f) -> bool {
  const auto *in = verify<codec::Head>(f.Body);
  Head head;
  if (in == nullptr || in->text() == nullptr ||
      !decodeHead(in->text()->string_view(), head))
    return false;
  handleUpdate(State.update(std::move(head)), &f.SenderAddress);
  return true;
}

auto ConfigurationController::onShard(const PeerFrame &f) -> bool {
  const auto *in = verify<codec::Shard>(f.Body);
  if (in == nullptr || in->key() == nullptr || in->text() == nullptr)
    return false;
  handleShardUpdate(State.addShard(in->key()->str(), in->text()->str()),
                    &f.SenderAddress);
  return true;
}

auto ConfigurationController::onDelta(const PeerFrame &f) -> bool {
  const auto *in = verify<codec::Delta>(f.Body);
  std::vector<ChangeRecord> records;
  if (in == nullptr || in->records() == nullptr ||
      !decodeRecords(in->records()->string_view(), records))
    return false;
  handleUpdate(State.applyRecords(records), &f.SenderAddress);
  return true;
}

auto ConfigurationController::handleUpdate(
    ConfigurationState::UpdateResult result, const Endpoint *from) -> void {
  switch (result) {
  case ConfigurationState::UpdateResult::Applied:
    publish();
    announceRevision();
    return;
  case ConfigurationState::UpdateResult::Incomplete:
    NextMissingFetch = Ctx.Time.now() + Settings.FetchTimeout;
    if (from != nullptr)
      sendFetch(*from, State.missing());
    else
      NextMissingFetch = Ctx.Time.now();
    return;
  case ConfigurationState::UpdateResult::Invalid:
    Ctx.Log.write(events::ConfigurationRefused,
                  {{"source", from == nullptr ? "platform" : toString(*from)}});
    return;
  case ConfigurationState::UpdateResult::Stale:
    return;
  }
}

auto ConfigurationController::handleShardUpdate(
    ConfigurationState::UpdateResult result, const Endpoint *from) -> void {
  if (result != ConfigurationState::UpdateResult::Incomplete)
    handleUpdate(result, from);
}

auto ConfigurationController::publish() -> void {
  auto cfg = State.configuration();
  Ctx.Log.write(events::ConfigurationInForce,
                {{"revision", std::to_string(raw(cfg.RevisionNumber))},
                 {"upstreams", std::to_string(cfg.Upstreams.size())}});
  Ctx.Metrics.gauge("config_revision", "Revision in force at this instance")
      .set(static_cast<double>(raw(cfg.RevisionNumber)));
  Ctx.Board.Configuration.publish(std::move(cfg));
}

/// Fetches shards that the first source has not sent from a random peer and, a
/// few of them, from the store.
auto ConfigurationController::fetchMissing(TimePoint now) -> void {
  if (now < NextMissingFetch)
    return;
  const auto keys = State.missing();
  if (keys.empty())
    return;
  NextMissingFetch = now + Ctx.Random.jitter(Settings.FetchTimeout);
  if (const auto peers = livePeers(); !peers.empty())
    sendFetch(peers[Ctx.Random.below(peers.size())].PeerAddress, keys);
  constexpr std::size_t StoreReads = 8;
  for (std::size_t n = 0; n < std::min(StoreReads, keys.size()); ++n)
    Platform->get(keys[n], [this, key = keys[n]](auto r) {
      if (r.ok())
        handleShardUpdate(State.addShard(key, std::move(r->Value)), nullptr);
      else if (absl::IsNotFound(r.status()))
        State.dropCandidate(); // Replaced meanwhile; a newer head will follow.
    });
}

auto ConfigurationController::isWatcher() const -> bool {
  std::size_t rank = 0;
  for (const auto &it : Ctx.Board.Membership.read()->Members)
    if (it.DataCentre == Ctx.Self.DataCentre && it.Id < Ctx.Self.Id &&
        it.State == MemberState::Alive)
      ++rank;
  return rank < Settings.Watchers;
}

auto ConfigurationController::readHead() -> void {
  if (ReadOpen || !Platform->mayCallInBackground())
    return;
  ReadOpen = true;
  Platform->get(std::string(HeadKey), [this](const auto &r) {
    ReadOpen = false;
    if (!r.ok() && !absl::IsNotFound(r.status()))
      return;
    PlatformAnswered = true;
    HeadVersionKnown = true;
    WatchAfter = r.ok() ? r->Version : 0;
    if (r.ok())
      updateFromStore(*r);
  });
}

auto ConfigurationController::runWatch() -> void {
  if (WatchOpen || !Platform->mayCallInBackground() || !isWatcher())
    return;
  if (!HeadVersionKnown) {
    readHead();
    return;
  }
  WatchOpen = true;
  Platform->watch(std::string(HeadKey), WatchAfter, Settings.WatchWait,
                  [this](const auto &r) {
                    WatchOpen = false;
                    if (!r.ok()) {
                      HeadVersionKnown = false;
                      return;
                    }
                    for (const auto &it : r->Events)
                      if (!it.Removed)
                        updateFromStore(it.Object);
                    WatchAfter = std::max(WatchAfter, r->CurrentVersion);
                  });
}

auto ConfigurationController::updateFromStore(const StoredObject &o) -> void {
  Head head;
  if (decodeHead(o.Value, head))
    onPlatformHead(head);
  else
    Ctx.Log.write(events::ConfigurationRefused, {{"source", "platform"}});
}

auto ConfigurationController::onPlatformHead(const Head &head) -> void {
  handleUpdate(State.update(head), nullptr);
}

auto ConfigurationController::submit(ChangeRequest request, ChangeDone done)
    -> void {
  if (request.Base == Revision{})
    request.Base = State.revision();
  Writer.submit(std::move(request), std::move(done));
}

auto ConfigurationController::isChangeOpen(std::string_view id) const -> bool {
  return Writer.isOpen(id);
}

auto ConfigurationController::findChange(
    const std::string &id,
    const std::function<void(absl::StatusOr<ChangeRecord>)> &done) -> void {
  if (const auto *known = State.head().findChange(id)) {
    done(*known);
    return;
  }
  Platform->get(std::string(HeadKey), [id, done](const auto &r) {
    Head head;
    if (!r.ok())
      done(r.status());
    else if (!decodeHead(r->Value, head))
      done(absl::DataLossError("the store's head is not readable"));
    else if (const auto *known = head.findChange(id))
      done(*known);
    else
      done(absl::NotFoundError("no such change among the newest"));
  });
}

auto ConfigurationController::queryHolders(
    Revision n, std::function<void(const Holders &)> done) -> void {
  if (HolderQueries.size() >= HolderQueryLimit) {
    done({});
    return;
  }
  for (const auto &it : livePeers()) {
    const auto known = PeerRevisions.find(it.Id);
    if (known == PeerRevisions.end() ||
        known->second.PeerIncarnation != it.IncarnationNumber ||
        known->second.RevisionNumber < n)
      sendDigest(it.PeerAddress, true);
  }
  HolderQueries.push_back(
      {n, Ctx.Time.now() + Settings.HolderQueryTime, std::move(done)});
}

auto ConfigurationController::finishHolderQueries(TimePoint now) -> void {
  std::vector<HolderQuery> ended;
  std::erase_if(HolderQueries, [&](auto &it) {
    if (it.Until > now)
      return false;
    ended.push_back(std::move(it));
    return true;
  });
  for (const auto &query : ended) {
    Holders h;
    h.Live = 1;
    h.Holding = State.revision() >= query.RevisionNumber ? 1 : 0;
    for (const auto &it : livePeers()) {
      ++h.Live;
      const auto known = PeerRevisions.find(it.Id);
      if (known != PeerRevisions.end() &&
          known->second.PeerIncarnation == it.IncarnationNumber &&
          known->second.RevisionNumber >= query.RevisionNumber)
        ++h.Holding;
      else if (h.Missing.size() < MissingLimit)
        h.Missing.push_back(it.PeerAddress);
    }
    query.Done(h);
  }
}

auto ConfigurationController::dump() const -> boost::json::object {
  return {{"revision", raw(State.revision())},
          {"newest_heard", raw(State.newestRevision())},
          {"shards", State.head().Shards.size()},
          {"urgent_entries", State.head().Urgent.size()},
          {"changes_waiting", Writer.openCount()},
          {"watcher", isWatcher()},
          {"watch_open", WatchOpen},
          {"ready", Ready}};
}

} // namespace boragebridge
