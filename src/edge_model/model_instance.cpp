#include "edge_model/model_instance.h"

#include "edge/picker.h"
#include "edge_model/baseline_placement.h"

#include <utility>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;

/// Packets that a machine holds for a process that stands still.
static constexpr std::size_t MaxUnread = 512;
static constexpr CallLimits MirrorLimits{milliseconds(500), milliseconds(500)};
static constexpr Duration MirrorDelay = std::chrono::microseconds(300);
static constexpr Duration PollLimit = milliseconds(700);
/// What a poll costs, in calls.
static constexpr double PollPrice = 0.1;

namespace {

/// Reads another instance's mirror; a call that does not reach it is never
/// answered.
class MirrorPlatform final : public PlatformClient {
public:
  using Find = std::function<ModelInstance *()>;

  MirrorPlatform(ModelWorld &world, const Clock &time, Find find,
                 MirrorView view)
      : World(world), Time(time), FindPeer(std::move(find)), View(view) {}

  auto get(std::string, Callback<StoredObject>) -> void override {}
  auto put(std::string, std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}
  auto remove(std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}

  auto list(std::string prefix, Callback<ObjectList> done) -> void override {
    World.after(MirrorDelay, [this, prefix, alive = std::weak_ptr<bool>(Alive),
                              done = std::move(done)] {
      auto *mirror = alive.expired() ? nullptr : find();
      if (mirror != nullptr)
        reply(done, mirror->list(prefix, View == MirrorView::Any));
    });
  }
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override {
    World.after(MirrorDelay,
                [this, prefix, after, wait, alive = std::weak_ptr<bool>(Alive),
                 done = std::move(done)] {
                  auto *mirror = alive.expired() ? nullptr : find();
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
  auto find() -> ObjectMirror * {
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
  Find FindPeer;
  MirrorView View;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

struct ModelInstance::Process {
  Process(ModelInstance &owner, std::uint64_t seed)
      : Random(seed), Store(std::make_unique<fakes::FakePlatform>(
                                owner.Ctx.Store, owner.Ctx.Timer, owner.Faults,
                                owner.Identity),
                            owner.Ctx.World, {}),
        Relay(
            Store, owner.Ctx.Time,
            [&owner](const Endpoint &at, MirrorView view) {
              return std::make_unique<TimeLimitedPlatform>(
                  std::make_unique<MirrorPlatform>(
                      owner.Ctx.World, owner.Ctx.Time,
                      [&owner, at] { return owner.Ctx.FindPeer(owner, at); },
                      view),
                  owner.Ctx.World, MirrorLimits);
            },
            [this](const auto &it, const auto &why) {
              Views.onParentLost(it, why);
            }),
        Cold(owner.Self.Name, owner.Ctx.Options.Cold),
        Chooser(makeBaseline(owner.Ctx.Options.PlacementPolicy,
                             {Known, Loads, Random})),
        Decide(Known, Loads, choose(owner.Self.DataCentre),
               {.CachedFlows = owner.Ctx.Options.CachedFlows}),
        Views(owner.Ctx.Time, Random, Log, Relay, Format, Known, Cold,
              {.Self = owner.Self,
               .Seeds = owner.Seeds,
               .Poll = [&owner](const auto &prefix, auto after, auto done) {
                 owner.poll(prefix, after, std::move(done));
               }}) {}

  /// Picker, unless a baseline was asked for.
  auto choose(DataCentreId own) -> PlacementPolicy & {
    if (Chooser == nullptr)
      Chooser = std::make_unique<Picker>(Known, Loads, Cold, Random,
                                         PickerOptions{.LocalDataCentre = own});
    return *Chooser;
  }

  SeededRandom Random;
  NullEventLog Log;
  PlainRecords Format;
  TimeLimitedPlatform Store;
  MirroredPlatform Relay;
  UpstreamDirectory Known;
  UpstreamEstimates Loads;
  ColdStartQuota Cold;
  std::unique_ptr<PlacementPolicy> Chooser;
  Forwarder Decide;
  EdgeViews Views;
  TimePoint Expired;
  double Polls = 0;
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
  if (Running != nullptr)
    return;
  ++Starts;
  Identity.IncarnationNumber = Incarnation{hashPair(raw(Identity.Id), Starts)};
  Stopping = false;
  Running = std::make_unique<Process>(*this, raw(Identity.IncarnationNumber));
}

auto ModelInstance::kill() -> void {
  if (Running == nullptr)
    return;
  EarlierCalls = storeCalls();
  Running.reset();
  Unread.clear();
}

auto ModelInstance::setFrozen(bool frozen) -> void {
  Frozen = frozen;
  applyFaults();
  if (frozen)
    return;
  for (const auto &it : std::exchange(Unread, {}))
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

auto ModelInstance::setStore(StoreCondition c, Duration delay) -> void {
  AllStore = c;
  Faults.Delay = delay;
  applyFaults();
}

auto ModelInstance::setOwnStore(StoreCondition c) -> void {
  OwnStore = c;
  applyFaults();
}

auto ModelInstance::applyFaults() -> void {
  Faults.Held.clear();
  if (CutOff || StoreCut)
    Faults.Held.insert(Self.DataCentre);
  const auto isSilent =
      AllStore == StoreCondition::Silent || OwnStore == StoreCondition::Silent;
  Faults.CutOff.clear();
  if (isSilent)
    Faults.CutOff.insert(Self.DataCentre);
  Faults.Down = AllStore == StoreCondition::Refuses ||
                OwnStore == StoreCondition::Refuses;
  Faults.Paused.clear();
  if (Frozen)
    Faults.Paused.insert(Identity.Id);
}

auto ModelInstance::poll(const std::string &prefix, ObjectVersion after,
                         PlatformClient::Callback<ObjectList> done) -> void {
  Running->Polls += PollPrice;
  const auto isUnheard = !Faults.CutOff.empty() || !Faults.Held.empty();
  const auto wait = isUnheard ? PollLimit : 2 * Faults.Delay;
  Ctx.World.after(wait,
                  [this, isUnheard, prefix, after, done = std::move(done)] {
                    if (isUnheard || Faults.Down)
                      return done(absl::UnavailableError("no answer"));
                    Ctx.Store.watch(prefix, after, Duration::zero(), done);
                    Ctx.Store.poll();
                  });
}

auto ModelInstance::receive(const CallerPacket &p) -> void {
  if (Running == nullptr)
    return;
  if (Frozen) {
    if (Unread.size() < MaxUnread)
      Unread.push_back(p);
    return;
  }
  Ctx.Act(*this, p, Running->Decide.decide(p.Header, Ctx.Time.now()));
}

auto ModelInstance::tick() -> void {
  if (Running == nullptr || Frozen)
    return;
  const auto now = Ctx.Time.now();
  Running->Decide.tick(now);
  Running->Views.tick(now);
  for (const auto &it : Running->Views.nextAdvertisements(now))
    if (auto *peer = Ctx.FindPeer(*this, it))
      peer->Running->Views.onMirrorAdvertised(Self.Address);
  if (now - Running->Expired < std::chrono::seconds(1))
    return;
  Running->Expired = now;
  Running->Known.expire(now);
}

auto ModelInstance::isReady() const -> bool {
  return Running != nullptr && !Frozen && !Stopping &&
         Running->Views.isComplete();
}

auto ModelInstance::directory() const -> const UpstreamDirectory * {
  return Running == nullptr ? nullptr : &Running->Known;
}

auto ModelInstance::mirror() -> ObjectMirror * {
  return Running == nullptr ? nullptr : &Running->Views.mirror();
}

auto ModelInstance::storeCalls() const -> double {
  if (Running == nullptr)
    return EarlierCalls;
  return EarlierCalls + static_cast<double>(Running->Relay.storeCalls()) +
         Running->Polls;
}

} // namespace boragebridge::edge_model
