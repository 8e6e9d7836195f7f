#include "edge_model/model_instance.h"

#include "edge/load/load_aware_policy.h"
#include "edge_model/baseline_placement.h"

#include <utility>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;

/// Capacity of the machine's receive buffer in packets; further packets for a
/// frozen process are lost.
static constexpr std::size_t MaxPendingPackets = 512;
static constexpr CallTimeouts MirrorTimeouts{milliseconds(500),
                                             milliseconds(500)};
static constexpr Duration MirrorDelay = std::chrono::microseconds(300);
static constexpr Duration PollTimeout = milliseconds(700);
/// Cost of a poll or a snapshot in calls to the store.
static constexpr double CheapCallCost = 0.1;

namespace {

/// Reads another instance's mirror. A call that does not reach the mirror is
/// never answered; a mirror does not serve get(), put() and remove().
class MirrorPlatform final : public PlatformClient {
public:
  using PeerFinder = std::function<ModelInstance *()>;

  MirrorPlatform(ModelWorld &world, const Clock &time, PeerFinder findPeer,
                 MirrorView view)
      : World(world), Time(time), FindPeer(std::move(findPeer)), View(view) {}

  auto get(std::string, Callback<StoredObject>) -> void override {}
  auto put(std::string, std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}
  auto remove(std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}

  auto list(std::string prefix, Callback<ObjectList> done) -> void override {
    World.after(MirrorDelay, [this, prefix, alive = std::weak_ptr<bool>(Alive),
                              done = std::move(done)] {
      auto *mirror = alive.expired() ? nullptr : findMirror();
      if (mirror != nullptr)
        reply(done, mirror->list(prefix, View == MirrorView::Any));
    });
  }
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override {
    World.after(MirrorDelay,
                [this, prefix, after, wait, alive = std::weak_ptr<bool>(Alive),
                 done = std::move(done)] {
                  auto *mirror = alive.expired() ? nullptr : findMirror();
                  if (mirror == nullptr)
                    return;
                  mirror->watch(prefix, after, Time.now() + wait,
                                [this, alive, done](auto r) {
                                  if (!alive.expired())
                                    reply(done, std::move(r));
                                });
                });
  }

private:
  auto findMirror() -> ObjectMirror * {
    auto *peer = FindPeer();
    return peer == nullptr ? nullptr : peer->mirror();
  }
  auto reply(const Callback<ObjectList> &done, absl::StatusOr<ObjectList> r)
      -> void {
    World.after(MirrorDelay,
                [alive = std::weak_ptr<bool>(Alive), done, r = std::move(r)] {
                  if (!alive.expired())
                    done(r);
                });
  }

  ModelWorld &World;
  const Clock &Time;
  PeerFinder FindPeer;
  MirrorView View;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

struct ModelInstance::Process {
  Process(ModelInstance &owner, std::uint64_t seed)
      : Process(owner, seed,
                std::make_unique<fakes::FakePlatform>(
                    owner.Ctx.Store, owner.Ctx.Timer, owner.Faults,
                    owner.Identity)) {}
  Process(ModelInstance &owner, std::uint64_t seed,
          std::unique_ptr<fakes::FakePlatform> client)
      : Random(seed), Client(*client),
        Store(std::move(client), owner.Ctx.World, {}),
        Platform(
            Store, owner.Ctx.Time,
            [&owner](const Endpoint &at, MirrorView view) {
              return std::make_unique<TimeLimitedPlatform>(
                  std::make_unique<MirrorPlatform>(
                      owner.Ctx.World, owner.Ctx.Time,
                      [&owner, at] { return owner.Ctx.FindPeer(owner, at); },
                      view),
                  owner.Ctx.World, MirrorTimeouts);
            },
            [this](const auto &it, const auto &why) {
              Views.onParentLost(it, why);
            },
            {.Probe =
                 [this, &owner](auto done) {
                   owner.poll(Format.withdrawalPrefix(), 1,
                              [done = std::move(done)](const auto &r) {
                                done(r.ok() || absl::IsOutOfRange(r.status()));
                              });
                 }}),
        Quota(owner.Self.Name, owner.Ctx.Options.ColdStart),
        BasePolicy(Directory, Estimates, Quota, Random,
                   {.LocalDataCentre = owner.Self.DataCentre}),
        Subsets(Directory, owner.Self.Name, owner.Self.DataCentre),
        Policy(makeBaseline(owner.Ctx.Options.PlacementPolicy,
                            {Directory, Estimates, Random})),
        PacketForwarder(Directory, Estimates, choosePolicy(),
                        {.CachedFlows = owner.Ctx.Options.CachedFlows,
                         .MaxRefusalBytes = RefusalBytes},
                        &Load),
        Views(owner.Ctx.Time, Random, Log, Platform, Format, Directory, Quota,
              {.Self = owner.Self,
               .Seeds = owner.Seeds,
               .Poll = [&owner](const auto &prefix, auto after,
                                auto done) { owner.poll(prefix, after, done); },
               .MemberSnapshot =
                   [this, &owner](auto done) {
                     owner.readSnapshot(Format.memberPrefix(), done);
                   },
               .Discovery = {.IsNewFleet = owner.StartCount == 1},
               .OnMembers =
                   [this](const auto &all) { Subsets.setMembers(all); }}),
        Lookup(
            owner.Ctx.Time, Log, Directory, [this] { return Views.peers(); },
            [&owner](const auto &at, auto tag, const auto &done) {
              owner.askPeer(at, tag, done);
            }) {}

  /// Returns the configured baseline policy, or that of the product if none is
  /// configured.
  auto choosePolicy() -> PlacementPolicy & {
    if (Policy == nullptr)
      Policy = std::make_unique<LoadAwarePolicy>(
          BasePolicy, Load, Subsets, Random, LoadAwarePolicyOptions{});
    return *Policy;
  }

  SeededRandom Random;
  NullEventLog Log;
  JsonRecordFormat Format;
  /// Owned by Store.
  fakes::FakePlatform &Client;
  TimeLimitedPlatform Store;
  MirroredPlatform Platform;
  UpstreamDirectory Directory;
  UpstreamEstimates Estimates;
  ColdStartQuota Quota;
  Picker BasePolicy;
  LoadControl Load;
  UpstreamSubsets Subsets;
  std::unique_ptr<PlacementPolicy> Policy;
  Forwarder PacketForwarder;
  EdgeViews Views;
  UpstreamLookup Lookup;
  TimePoint LastExpire;
  double CheapCalls = 0;
};

ModelInstance::ModelInstance(const InstanceContext &ctx, MemberRecord self,
                             std::vector<Endpoint> seeds)
    : Ctx(ctx), Self(std::move(self)),
      Seeds(std::move(seeds)), Identity{Self.Name,
                                        idFromName<InstanceId>(Self.Name),
                                        {},
                                        Self.DataCentre,
                                        Self.Address,
                                        {}} {}

ModelInstance::~ModelInstance() = default;

auto ModelInstance::start() -> void {
  if (RunningProcess != nullptr)
    return;
  ++StartCount;
  Identity.IncarnationNumber =
      Incarnation{hashPair(raw(Identity.Id), StartCount)};
  Stopping = false;
  RunningProcess =
      std::make_unique<Process>(*this, raw(Identity.IncarnationNumber));
}

auto ModelInstance::kill() -> void {
  if (RunningProcess == nullptr)
    return;
  EarlierStoreCalls = storeCalls();
  RunningProcess.reset();
  PendingPackets.clear();
}

auto ModelInstance::setFrozen(bool frozen) -> void {
  Frozen = frozen;
  applyFaults();
  if (frozen)
    return;
  for (const auto &it : std::exchange(PendingPackets, {}))
    receive(it);
}

auto ModelInstance::setCutOff(bool cut) -> void {
  CutOff = cut;
  applyFaults();
}

auto ModelInstance::setStoreCut(bool cut) -> void {
  StoreCut = cut;
  applyFaults();
}

auto ModelInstance::setSharedStore(StoreCondition c, Duration delay) -> void {
  SharedStore = c;
  Faults.Delay = delay;
  applyFaults();
}

auto ModelInstance::setInstanceStore(StoreCondition c) -> void {
  InstanceStore = c;
  applyFaults();
}

auto ModelInstance::loseNextWatchAnswer(const std::string &prefix,
                                        const std::function<void()> &onLost)
    -> void {
  if (RunningProcess != nullptr)
    RunningProcess->Client.loseNextWatchAnswer(prefix, onLost);
}

auto ModelInstance::applyFaults() -> void {
  // A network cut delays calls to the store until it heals; an unresponsive
  // store loses them.
  Faults.DelayedDataCentres.clear();
  if (CutOff || StoreCut)
    Faults.DelayedDataCentres.insert(Self.DataCentre);
  const auto isUnresponsive = SharedStore == StoreCondition::Unresponsive ||
                              InstanceStore == StoreCondition::Unresponsive;
  Faults.CutOff.clear();
  if (isUnresponsive)
    Faults.CutOff.insert(Self.DataCentre);
  Faults.Down = SharedStore == StoreCondition::Refuses ||
                InstanceStore == StoreCondition::Refuses;
  Faults.Paused.clear();
  if (Frozen)
    Faults.Paused.insert(Identity.Id);
}

/// What was known of \p l when the store was at version \p v.
static auto changesUpTo(ObjectVersion v, ObjectList l) -> ObjectList {
  std::erase_if(l.Events,
                [v](const auto &it) { return it.Object.Version > v; });
  l.CurrentVersion = std::min(l.CurrentVersion, v);
  return l;
}

auto ModelInstance::poll(const std::string &prefix, ObjectVersion after,
                         const PlatformClient::Callback<ObjectList> &done)
    -> void {
  callCheaply(done, [this, prefix, after, done] {
    const auto era = eraOf(Ctx.Store.version());
    if (eraOf(after) < era)
      return done(ObjectList{{}, makeVersion(era, 0)});
    Ctx.Store.watch(prefix, after, Duration::zero(),
                    [known = Ctx.StaleVersion(), after, done](auto r) {
                      if (r.ok())
                        r = changesUpTo(std::max(known, after), *std::move(r));
                      done(std::move(r));
                    });
    Ctx.Store.poll();
  });
}

auto ModelInstance::readSnapshot(
    const std::string &prefix, const PlatformClient::Callback<ObjectList> &done)
    -> void {
  callCheaply(done, [this, prefix, done] { done(Ctx.ReadSnapshot(prefix)); });
}

auto ModelInstance::callCheaply(PlatformClient::Callback<ObjectList> done,
                                std::function<void()> answer) -> void {
  RunningProcess->CheapCalls += CheapCallCost;
  const auto isUnanswered =
      !Faults.CutOff.empty() || !Faults.DelayedDataCentres.empty();
  const auto wait = isUnanswered ? PollTimeout : 2 * Faults.Delay;
  Ctx.World.after(wait, [this, isUnanswered, start = StartCount,
                         done = std::move(done), answer = std::move(answer)] {
    // The process that made the call may have ended.
    if (RunningProcess == nullptr || StartCount != start)
      return;
    if (isUnanswered || Faults.Down)
      return done(absl::UnavailableError("the store does not answer"));
    answer();
  });
}

auto ModelInstance::receive(const CallerPacket &p) -> void {
  if (RunningProcess == nullptr)
    return;
  if (Frozen) {
    if (PendingPackets.size() < MaxPendingPackets)
      PendingPackets.push_back(p);
    return;
  }
  const auto now = Ctx.Time.now();
  const auto d = RunningProcess->PacketForwarder.decide(p.Header, now);
  if (isOfUnknownLifetime(d.Reason))
    RunningProcess->Lookup.onUnknownTag(p.Header.Tag, now);
  Ctx.ApplyDecision(*this, p, d);
}

auto ModelInstance::askPeer(const Endpoint &at, UpstreamTag tag,
                            const UpstreamLookup::Answer &done) -> void {
  Ctx.World.after(2 * MirrorDelay, [this, at, tag, done] {
    const auto *peer = Ctx.FindPeer(*this, at);
    const UpstreamLifetime *u = nullptr;
    if (peer != nullptr)
      u = peer->RunningProcess->PacketForwarder.upstreamWithFlows(
          tag, Ctx.Time.now());
    if (u == nullptr)
      return done(absl::NotFoundError("no such upstream"));
    done(u->Record);
  });
}

auto ModelInstance::tick() -> void {
  if (RunningProcess == nullptr || Frozen)
    return;
  const auto now = Ctx.Time.now();
  RunningProcess->PacketForwarder.tick(now);
  RunningProcess->Views.tick(now);
  for (const auto &it : RunningProcess->Views.nextAdvertisements(now))
    if (auto *peer = Ctx.FindPeer(*this, it))
      peer->RunningProcess->Views.onMirrorAdvertised(Self.Address);
  if (now - RunningProcess->LastExpire < std::chrono::seconds(1))
    return;
  RunningProcess->LastExpire = now;
  RunningProcess->Directory.expire(now);
  RunningProcess->Load.tick(now);
}

auto ModelInstance::isReady() const -> bool {
  return RunningProcess != nullptr && !Frozen && !Stopping &&
         RunningProcess->Views.isComplete();
}

auto ModelInstance::directory() const -> const UpstreamDirectory * {
  return RunningProcess == nullptr ? nullptr : &RunningProcess->Directory;
}

auto ModelInstance::mirror() -> ObjectMirror * {
  return RunningProcess == nullptr ? nullptr : &RunningProcess->Views.mirror();
}

auto ModelInstance::storeCalls() const -> double {
  if (RunningProcess == nullptr)
    return EarlierStoreCalls;
  return EarlierStoreCalls +
         static_cast<double>(RunningProcess->Platform.storeCalls()) +
         RunningProcess->CheapCalls;
}

} // namespace boragebridge::edge_model
