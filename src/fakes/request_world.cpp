#include "fakes/request_world.h"

#include "request/answer.h"
#include "request/messages.h"
#include "request/request_controller.h"

#include <algorithm>
#include <cstring>

namespace boragebridge::fakes {

namespace {

constexpr Duration CallerDelay = std::chrono::milliseconds(3);
constexpr Duration LocalHostDelay = std::chrono::microseconds(200);
constexpr Duration RemoteHostDelay = std::chrono::microseconds(1500);
constexpr Duration ViewPeriod = std::chrono::milliseconds(100);
constexpr Duration CallerTick = std::chrono::milliseconds(5);
constexpr Duration RemovalTime = std::chrono::minutes(2);
constexpr std::size_t IdSize = sizeof(std::uint64_t);

auto bodyOf(std::uint64_t id) -> Bytes {
  Bytes b(IdSize);
  std::memcpy(b.data(), &id, IdSize);
  return b;
}

auto idOf(ByteView body) -> std::uint64_t {
  std::uint64_t id = UINT64_MAX;
  if (body.size() >= IdSize)
    std::memcpy(&id, body.data(), IdSize);
  return id;
}

/// Makes an answer that repeats the identifier, so that a truncated answer, or
/// a mix of two answers, is detected.
auto answerOf(std::uint64_t id, std::size_t size) -> Bytes {
  Bytes b(std::max(size, IdSize) / IdSize * IdSize);
  for (std::size_t at = 0; at < b.size(); at += IdSize)
    std::memcpy(b.data() + at, &id, IdSize);
  return b;
}

auto makeRequestControllers(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  all.push_back(makeRequestController(ctx, nullptr));
  return all;
}

} // namespace

struct RequestWorld::Host {
  UpstreamModel Model;
  UpstreamId Id{};
  Endpoint Address;
  std::string DataCentre;
  struct Origin {
    std::string Instance;
    std::uint32_t Attempt;
    std::uint64_t Request;
  };
  std::map<std::uint64_t, Origin> Routes;
  std::uint64_t NextRoute = 1;
  std::size_t Index = 0;
};

struct RequestWorld::CallerNode final : CallerSink {
  CallerNode(RequestWorld &owner, std::size_t index, std::string dc)
      : Owner(owner), Index(index), DataCentre(std::move(dc)),
        Flow{{static_cast<std::uint32_t>(0x0B000001 + index), 4000},
             {0x0A0A0A0A, 80},
             17},
        Id{owner.Random.next()},
        Client(Id, Flow, owner.Nodes.Time, owner.Random, *this,
               owner.Options.CallerOptions) {}
  auto sendToFabric(const Packet &p) -> void override {
    Owner.sendFromCaller(*this, p);
  }
  auto onOutcome(RequestHandle h, const RequestOutcome &o) -> void override {
    Owner.onOutcome(*this, h, o);
  }

  RequestWorld &Owner;
  std::size_t Index;
  std::string DataCentre;
  FlowKey Flow;
  CallerId Id;
  Caller Client;
  std::map<std::uint64_t, std::uint64_t> RequestOf;
};

auto RequestWorld::booking() -> ServiceId {
  return idFromName<ServiceId>("booking");
}
auto RequestWorld::uploads() -> ServiceId {
  return idFromName<ServiceId>("uploads");
}

RequestWorld::RequestWorld(RequestWorldOptions opt)
    : Options(std::move(opt)), Random(Options.Seed),
      Nodes({Options.Seed,
             Options.MakeControllers ? Options.MakeControllers
                                     : makeRequestControllers,
             makePlatformFactory(), Options.Log}) {
  Nodes.OnCallerPacket = [this](Instance &, const Packet &p) {
    sendToCaller(p);
  };
  Nodes.OnUpstreamPacket = [this](Instance &from, const Endpoint &to,
                                  const Packet &p) {
    sendToUpstream(from, to, p);
  };
  Config.RevisionNumber = Revision{1};
  Config.Services = {{booking(), "booking", "team", {0x0A0A0A0A, 80}},
                     {uploads(), "uploads", "team", {0x0A0A0A0B, 80}}};
  for (const auto &dc : Options.DataCentres) {
    Config.DataCentres.push_back({idFromName<DataCentreId>(dc), dc, false});
    for (std::size_t n = 0; n < Options.BookingHosts; ++n)
      addHost(dc, booking(), n);
    for (std::size_t n = 0; n < Options.UploadHosts; ++n)
      addHost(dc, uploads(), n);
  }
  for (const auto &dc : Options.DataCentres)
    for (std::size_t n = 0; n < Options.InstancesPerDataCentre; ++n) {
      Names.push_back(dc + "-" + std::to_string(n));
      DataCentreOf[Names.back()] = dc;
      addInstance(Names.back());
    }
  for (std::size_t n = 0; n < Options.Callers; ++n)
    Callers.push_back(std::make_unique<CallerNode>(
        *this, n, Options.DataCentres[n % Options.DataCentres.size()]));
  publishViews();
}

RequestWorld::~RequestWorld() = default;

auto RequestWorld::makePlatformFactory() -> PlatformFactory {
  if (!Options.MakePlatform)
    return {};
  return [this](const InstanceIdentity &self) {
    return Options.MakePlatform(Nodes, self);
  };
}

auto RequestWorld::addHost(const std::string &dc, ServiceId s, std::size_t n)
    -> void {
  const auto *service = Config.findService(s);
  const auto name = service->Name + "-" + dc + "-" + std::to_string(n);
  const Endpoint address{static_cast<std::uint32_t>(0x0C000001 + Hosts.size()),
                         9000};
  UpstreamOptions opt;
  opt.Service = s;
  opt.ServiceAddress = service->Address;
  opt.StartsCold = Options.HostsStartCold;
  opt.Seed = Random.next();
  const auto id = idFromName<UpstreamId>(name);
  Upstream u;
  u.Id = id;
  u.Name = name;
  u.Service = s;
  u.DataCentre = idFromName<DataCentreId>(dc);
  u.Address = address;
  Config.Upstreams.push_back(u);
  Hosts.push_back(
      std::make_unique<Host>(Host{UpstreamModel(opt, Nodes.Time.now()),
                                  id,
                                  address,
                                  dc,
                                  {},
                                  1,
                                  Hosts.size()}));
}

auto RequestWorld::addInstance(const std::string &name) -> void {
  Nodes.addInstance(name, DataCentreOf.at(name));
  if (Options.PublishesViews)
    Nodes.publishConfiguration(name, Config);
  Paused.erase(name);
  Stopping.erase(name);
  for (const auto &it : Names)
    LastReachable.erase({name, it});
}

auto RequestWorld::isUsable(const std::string &name) const -> bool {
  return Nodes.isRunning(name) && !Paused.contains(name) &&
         !Stopping.contains(name);
}

auto RequestWorld::isReachable(const std::string &from,
                               const std::string &to) const -> bool {
  return Nodes.isRunning(to) && !Paused.contains(to) &&
         !Cuts.contains({DataCentreOf.at(from), DataCentreOf.at(to)});
}

/// Publishes to each instance its view of the members, by the time it was last
/// able to reach each of them, and the actual health of the upstreams.
auto RequestWorld::publishViews() -> void {
  if (!Options.PublishesViews)
    return;
  HealthView health;
  for (const auto &h : Hosts) {
    const auto cold = h->Model.isCold();
    health.Upstreams[h->Id] = {cold ? UpstreamFitness::Cold
                                    : UpstreamFitness::Ready,
                               cold ? 0.0 : 1.0, 100};
    if (!h->Model.isAlive())
      health.Upstreams[h->Id].Fitness = UpstreamFitness::Unfit;
  }
  for (const auto &from : Names) {
    if (!Nodes.isRunning(from) || Paused.contains(from))
      continue;
    MembershipView view;
    for (const auto &to : Names) {
      auto &lastReachable =
          LastReachable.try_emplace({from, to}, now()).first->second;
      auto &m = LastSeen[{from, to}];
      if (isReachable(from, to)) {
        const auto &self = Nodes.instance(to).identity();
        lastReachable = now();
        m = {self.Id, self.IncarnationNumber, self.DataCentre, self.PeerAddress,
             Stopping.contains(to) ? MemberState::Leaving : MemberState::Alive};
      } else if (now() - lastReachable >= Options.DeadAfter) {
        m.State = MemberState::Dead;
      } else if (now() - lastReachable >= Options.SuspectAfter) {
        m.State = MemberState::Suspect;
      }
      if (m.Id != InstanceId{} && now() - lastReachable < RemovalTime)
        view.Members.push_back(m);
    }
    std::sort(view.Members.begin(), view.Members.end(),
              [](const Member &a, const Member &b) { return a.Id < b.Id; });
    auto &board = Nodes.instance(from).board();
    if (view.Members != board.Membership.read()->Members)
      board.Membership.publish(std::move(view));
    board.Health.publish(health);
  }
}

auto RequestWorld::run(Duration d) -> void {
  const auto end = now() + d;
  while (now() < end) {
    recordCounters();
    Nodes.run(Fleet::Step);
    addCountersOfStopped();
    pollHosts();
    if (now() >= NextViews) {
      NextViews = now() + ViewPeriod;
      publishViews();
    }
    if (now() >= NextCallerTick) {
      NextCallerTick = now() + CallerTick;
      for (auto &c : Callers)
        c->Client.tick();
    }
  }
}

auto RequestWorld::submit(std::size_t caller, RequestSpec spec)
    -> std::uint64_t {
  const auto id = Tracked.size();
  if (spec.Service == ServiceId{})
    spec.Service = booking();
  if (spec.Body.empty())
    spec.Body = bodyOf(id);
  Tracked.push_back({spec.Service, now(), {}, false, OutcomeKind::Unknown, 0});
  auto &c = *Callers[caller];
  c.RequestOf[raw(c.Client.submit(std::move(spec)))] = id;
  return id;
}

auto RequestWorld::cancel(std::uint64_t request) -> void {
  for (auto &c : Callers)
    for (const auto &[handle, id] : c->RequestOf)
      if (id == request)
        return c->Client.cancel(RequestHandle{handle});
}

auto RequestWorld::submitAndWait(std::size_t caller, RequestSpec spec)
    -> TrackedRequest {
  const auto id = submit(caller, std::move(spec));
  while (!Tracked[id].IsEnded)
    run(Fleet::Step);
  return Tracked[id];
}

auto RequestWorld::onOutcome(CallerNode &c, RequestHandle h,
                             const RequestOutcome &o) -> void {
  auto it = c.RequestOf.find(raw(h));
  if (it == c.RequestOf.end())
    return;
  auto &r = Tracked[it->second];
  r.IsEnded = true;
  r.Ended = now();
  r.Kind = o.Kind;
  const auto size =
      r.Service == uploads() ? Options.UploadAnswer : Options.BookingAnswer;
  if (o.Kind == OutcomeKind::Answered && o.Body != answerOf(it->second, size))
    ++WrongAnswerCount;
  c.RequestOf.erase(it);
}

auto RequestWorld::sendFromCaller(CallerNode &c, const Packet &p) -> void {
  if (Random.unit() < Options.CallerLoss ||
      (DropFromCaller && DropFromCaller(p)))
    return;
  const auto isRoaming = Random.unit() < Options.RoamingShare;
  sendToFabric(
      isRoaming ? Options.DataCentres[Random.below(Options.DataCentres.size())]
                : c.DataCentre,
      p);
}

auto RequestWorld::sendToFabric(const std::string &dc, const Packet &p)
    -> void {
  std::vector<std::string> targets;
  for (const auto &name : Names)
    if (DataCentreOf.at(name) == dc && Nodes.isRunning(name))
      targets.push_back(name);
  if (targets.empty())
    return;
  const auto to = targets[Random.below(targets.size())];
  Nodes.Network.after(CallerDelay, [this, to, p] { Nodes.fromFabric(to, p); });
}

auto RequestWorld::sendToCaller(const Packet &p) -> void {
  if (p.Kind != PacketKind::Reply) {
    if (OnFlowPacket)
      Nodes.Network.after(CallerDelay, [this, p] { OnFlowPacket(p); });
    return;
  }
  auto it = std::find_if(Callers.begin(), Callers.end(), [&p](const auto &c) {
    return c->Flow.Caller == p.Flow.Caller;
  });
  if (it == Callers.end())
    return;
  rw::ReplyT m;
  if (decode(p.Payload, m) && m.outcome == rw::Outcome::RefusedNotRun &&
      m.number != 0)
    RefusedNumbers.insert({m.caller, m.number});
  auto *c = it->get();
  const auto copies = Random.unit() < Options.DuplicateShare ? 2 : 1;
  for (auto n = 0; n < copies; ++n) {
    if (Random.unit() < Options.CallerLoss)
      continue;
    const auto late =
        n == 0 ? CallerDelay : Random.jitter(std::chrono::milliseconds(200));
    Nodes.Network.after(late, [this, c, p] {
      if (OnReply)
        OnReply(c->Index, p);
      c->Client.onPacket(p);
    });
  }
}

auto RequestWorld::sendToUpstream(const Instance &from, const Endpoint &to,
                                  const Packet &p) -> void {
  auto it = std::find_if(Hosts.begin(), Hosts.end(),
                         [&to](const auto &h) { return h->Address == to; });
  if (it == Hosts.end())
    return;
  auto *h = it->get();
  const auto name = from.identity().Name;
  const auto &dc = DataCentreOf.at(name);
  if (Cuts.contains({dc, h->DataCentre}))
    return;
  const auto delay = dc == h->DataCentre ? LocalHostDelay : RemoteHostDelay;
  Nodes.Network.after(delay, [this, h, name, p] { execute(*h, name, p); });
}

auto RequestWorld::execute(Host &h, const std::string &from, const Packet &p)
    -> void {
  if (p.Kind == PacketKind::Cancel) {
    rw::CancelT m;
    if (decode(p.Payload, m))
      h.Model.cancel(now(), {CallerId{m.caller}, m.number});
    return;
  }
  if (p.Kind != PacketKind::Execute) {
    if (OnHostPacket)
      OnHostPacket(h.Index, from, p);
    return;
  }
  rw::ExecuteT m;
  if (!decode(p.Payload, m))
    return;
  const auto request = idOf(fromWire(m.body));
  const ModelRequestKey key{CallerId{m.caller}, m.number};
  const auto before = h.Model.runs(key);
  const auto isUpload = h.Model.options().Service == uploads();
  const auto route = h.NextRoute++;
  h.Routes[route] = {from, m.attempt, request};
  h.Model.execute(now(), {key, m.attempt, ServiceId{m.service},
                          isUpload ? Options.UploadWork : Options.BookingWork,
                          std::chrono::milliseconds(m.remaining_ms), route});
  if (h.Model.runs(key) == before)
    return;
  ++RunsOfNumber[{m.caller, m.number}];
  if (request < Tracked.size())
    ++Tracked[request].Runs;
}

auto RequestWorld::pollHosts() -> void {
  for (auto &h : Hosts)
    for (const auto &r : h->Model.poll(now()))
      answer(*h, r);
}

auto RequestWorld::answer(Host &h, const ExecuteResult &r) -> void {
  auto it = h.Routes.find(r.Route);
  if (it == h.Routes.end())
    return;
  const auto origin = it->second;
  rw::ResultT m;
  m.caller = raw(r.Key.Caller);
  m.number = r.Key.Number;
  m.attempt = origin.Attempt;
  Bytes body;
  switch (r.Kind) {
  case ResultKind::Answer:
    body = answerOf(origin.Request, h.Model.options().Service == uploads()
                                        ? Options.UploadAnswer
                                        : Options.BookingAnswer);
    break;
  case ResultKind::Refused:
    m.outcome = rw::ResultOutcome::Refused;
    m.reason = static_cast<std::uint8_t>(r.Reason);
    break;
  case ResultKind::DeadlineExceeded:
  case ResultKind::Cancelled:
    m.outcome = rw::ResultOutcome::Stopped;
    break;
  }
  if (Cuts.contains({h.DataCentre, DataCentreOf.at(origin.Instance)}))
    return;
  const auto delay = DataCentreOf.at(origin.Instance) == h.DataCentre
                         ? LocalHostDelay
                         : RemoteHostDelay;
  m.chunks = static_cast<std::uint16_t>(chunkCount(body.size()));
  m.digest = digestAnswer(body);
  for (std::size_t n = 0; n < m.chunks; ++n) {
    if (Random.unit() < Options.AnswerLoss)
      continue;
    m.chunk = static_cast<std::uint16_t>(n);
    m.body = toWire(chunkOf(body, n));
    const Packet p{PacketKind::Result, {}, encode(m)};
    Nodes.Network.after(delay, [this, &h, to = origin.Instance, p] {
      Nodes.fromUpstream(to, h.Address, p);
    });
  }
}

/// Records the counters of stopping instances before each step, because an
/// instance that stops ends within the step.
auto RequestWorld::recordCounters() -> void {
  for (const auto &name : Stopping)
    if (Nodes.isRunning(name))
      LastCounters[name] = countersOf(name);
}

auto RequestWorld::addCountersOfStopped() -> void {
  for (auto it = LastCounters.begin(); it != LastCounters.end();) {
    const auto at = it++;
    if (Nodes.isRunning(at->first))
      continue;
    for (const auto &[counter, n] : at->second)
      EndedCounters[counter] += n;
    LastCounters.erase(at);
  }
}

auto RequestWorld::countersOf(const std::string &name)
    -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> all;
  for (const auto *c :
       {"request_executes_total", "request_packets_total",
        "request_own_retries_total", "request_upstream_refusals_total",
        "request_unknown_total"})
    all[c] = Nodes.instance(name).metrics().counterValue(c);
  return all;
}

auto RequestWorld::counter(const std::string &name) -> std::uint64_t {
  auto n = EndedCounters[name];
  for (auto *it : Nodes.running())
    n += it->metrics().counterValue(name);
  return n;
}

auto RequestWorld::kill(const std::string &name) -> void {
  if (!Nodes.isRunning(name))
    return;
  LastCounters[name] = countersOf(name);
  Paused.erase(name);
  Nodes.kill(name);
  addCountersOfStopped();
}

auto RequestWorld::join(const std::string &name, const std::string &dc)
    -> void {
  Names.push_back(name);
  DataCentreOf[name] = dc;
  addInstance(name);
  publishViews();
}

auto RequestWorld::restart(const std::string &name) -> void {
  kill(name);
  addInstance(name);
  publishViews();
}

auto RequestWorld::setPaused(const std::string &name, bool paused) -> void {
  if (paused)
    Paused.insert(name);
  else
    Paused.erase(name);
  Nodes.setPaused(name, paused);
}

auto RequestWorld::beginStop(const std::string &name) -> void {
  Stopping.insert(name);
  Nodes.beginStop(name);
}

auto RequestWorld::setCut(const std::string &dcA, const std::string &dcB,
                          bool cut) -> void {
  for (const auto &pair : {std::pair(dcA, dcB), std::pair(dcB, dcA)}) {
    if (cut)
      Cuts.insert(pair);
    else
      Cuts.erase(pair);
  }
  Nodes.Network.setCut(idFromName<DataCentreId>(dcA),
                       idFromName<DataCentreId>(dcB), cut);
}

auto RequestWorld::setWithdrawn(const std::string &dc, bool withdrawn) -> void {
  for (auto &it : Config.DataCentres)
    if (it.Name == dc)
      it.Withdrawn = withdrawn;
  Config.RevisionNumber = Revision{raw(Config.RevisionNumber) + 1};
  publishConfiguration();
}

auto RequestWorld::host(std::size_t n) -> UpstreamModel & {
  return Hosts[n]->Model;
}

auto RequestWorld::hostDataCentre(std::size_t n) const -> const std::string & {
  return Hosts[n]->DataCentre;
}

auto RequestWorld::hostAddress(std::size_t n) const -> const Endpoint & {
  return Hosts[n]->Address;
}

auto RequestWorld::sendFromHost(std::size_t n, const std::string &to,
                                const Packet &p) -> void {
  const auto &h = *Hosts[n];
  const auto &dc = DataCentreOf.at(to);
  if (Cuts.contains({h.DataCentre, dc}))
    return;
  const auto delay = dc == h.DataCentre ? LocalHostDelay : RemoteHostDelay;
  Nodes.Network.after(delay, [this, to, from = h.Address, p] {
    Nodes.fromUpstream(to, from, p);
  });
}

auto RequestWorld::caller(std::size_t n) -> Caller & {
  return Callers[n]->Client;
}

auto RequestWorld::capacity(ServiceId s) const -> double {
  const auto work = std::chrono::duration<double>(
      s == uploads() ? Options.UploadWork : Options.BookingWork);
  double sum = 0;
  for (const auto &h : Hosts) {
    const auto &opt = h->Model.options();
    if (opt.Service == s && h->Model.isAlive())
      sum += opt.Slots * (opt.SpeedPercent / 100.0) / work.count();
  }
  return sum;
}

auto RequestWorld::report() const -> WorldReport {
  WorldReport r;
  r.Submitted = Tracked.size();
  r.WrongAnswers = WrongAnswerCount;
  for (const auto &it : Tracked) {
    r.RunsOverLimit += it.Runs > 1 ? 1 : 0;
    if (!it.IsEnded)
      continue;
    r.Answered += it.Kind == OutcomeKind::Answered ? 1 : 0;
    r.Refused += it.Kind == OutcomeKind::RefusedNotRun ? 1 : 0;
    r.Unknown += it.Kind == OutcomeKind::Unknown ? 1 : 0;
    r.AlreadyRun += it.Kind == OutcomeKind::AlreadyRun ? 1 : 0;
    // The caller received a refusal although the request ran under one of the
    // numbers that it was submitted with.
    r.FalseRefusals +=
        it.Kind == OutcomeKind::RefusedNotRun && it.Runs > 0 ? 1 : 0;
  }
  for (const auto &key : RefusedNumbers)
    r.FalseRefusals += RunsOfNumber.contains(key) ? 1 : 0;
  for (const auto &h : Hosts) {
    const auto &c = h->Model.counts();
    r.SlotsOverLimit += c.OverLimit;
    r.ColdOverLimit += c.ColdOverLimit;
    r.Misdelivered += c.Misdelivered;
    r.PacketsAfterWithdrawal += c.PacketsAfterWithdrawal;
  }
  return r;
}

} // namespace boragebridge::fakes
