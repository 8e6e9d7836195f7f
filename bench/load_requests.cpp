#include "load_requests.h"

namespace boragebridge::bench {

/// Callers have addresses from 10.32.0.0 upwards.
static constexpr std::uint32_t FirstCallerAddress = 0x0A200000;
static constexpr std::uint16_t CallerPort = 50000;
/// A request body holds the work in microseconds, the request number and
/// padding.
static constexpr std::size_t BodyBytes = 200;

static auto putNumber(Bytes &b, std::size_t at, std::uint64_t n) -> void {
  for (std::size_t i = 0; i < sizeof(n); ++i)
    b[at + i] = static_cast<std::byte>(n >> (8 * i));
}

/// One caller of one service.
class RequestLoad::Client final : public CallerSink {
public:
  Client(RequestLoad &owner, const LoadService &service, const Endpoint &self,
         const Endpoint &fabric)
      : Owner(owner), Service(service), Fabric(fabric),
        RequestCaller(CallerId{owner.Random.next()},
                      {self, service.Address, 17}, owner.Time, owner.Random,
                      *this) {}

  auto sendToFabric(const Packet &p) -> void override {
    Owner.SendPacket(Fabric, p);
  }

  auto onOutcome(RequestHandle h, const RequestOutcome &o) -> void override {
    auto it = OpenRequests.find(static_cast<std::uint64_t>(h));
    // Caller::submit() may refuse the request before it returns the handle.
    auto request = it == OpenRequests.end() ? Submitting : it->second;
    if (it != OpenRequests.end())
      OpenRequests.erase(it);
    else
      IsRefusedOnSubmit = true;
    auto &m = *Owner.CurrentMeasures;
    ++m.Outcomes[static_cast<std::size_t>(o.Kind)];
    Owner.EndedRequests[request.Number] = o.Kind;
    if (o.Kind != OutcomeKind::Answered)
      return;
    m.Latencies.push_back(Owner.Time.now() - request.Begin);
    if (o.Body != request.Body)
      ++m.WrongAnswers;
  }

  auto submit(std::uint64_t number) -> void {
    Bytes body(BodyBytes, static_cast<std::byte>(number));
    const auto work = std::chrono::duration_cast<std::chrono::microseconds>(
        Owner.Options.WorkTime);
    putNumber(body, 0, static_cast<std::uint64_t>(work.count()));
    putNumber(body, sizeof(number), number);
    Submitting = {number, Owner.Time.now(), body};
    IsRefusedOnSubmit = false;
    RequestSpec spec;
    spec.Service = Service.Id;
    spec.Body = std::move(body);
    spec.Deadline = Owner.Options.Deadline;
    const auto h = RequestCaller.submit(std::move(spec));
    if (!IsRefusedOnSubmit)
      OpenRequests[static_cast<std::uint64_t>(h)] = std::move(Submitting);
  }
  auto caller() -> Caller & { return RequestCaller; }

private:
  struct OpenRequest {
    std::uint64_t Number = 0;
    TimePoint Begin;
    Bytes Body;
  };

  RequestLoad &Owner;
  LoadService Service;
  Endpoint Fabric;
  Caller RequestCaller;
  std::unordered_map<std::uint64_t, OpenRequest> OpenRequests;
  OpenRequest Submitting;
  bool IsRefusedOnSubmit = false;
};

RequestLoad::RequestLoad(RequestLoadOptions opt, const Clock &time,
                         RandomSource &random, FlowLoad::SendFunction send)
    : Options(std::move(opt)), Time(time), Random(random),
      SendPacket(std::move(send)), NextSubmit(time.now()) {
  std::uint32_t n = 0;
  for (const auto &service : Options.Services)
    for (std::size_t i = 0; i < Options.CallersPerService; ++i) {
      const Endpoint self{FirstCallerAddress + n, CallerPort};
      const auto &fabric = Options.Fabrics[n % Options.Fabrics.size()];
      Clients.push_back(std::make_unique<Client>(*this, service, self, fabric));
      ByEndpoint[self] = Clients.back().get();
      ++n;
    }
}

RequestLoad::~RequestLoad() = default;

auto RequestLoad::submit(RequestMeasures &m) -> void {
  ++m.Submitted;
  Clients[Random.below(Clients.size())]->submit(NextNumber++);
}

auto RequestLoad::tick(RequestMeasures &m) -> void {
  CurrentMeasures = &m;
  const auto now = Time.now();
  while (Options.PerSecond > 0 && NextSubmit <= now) {
    submit(m);
    NextSubmit += Random.jitter(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / Options.PerSecond)));
  }
  for (const auto &it : Clients)
    it->caller().tick();
}

auto RequestLoad::onPacket(const Packet &p, RequestMeasures &m) -> void {
  CurrentMeasures = &m;
  auto it = ByEndpoint.find(p.Flow.Caller);
  if (it != ByEndpoint.end())
    it->second->caller().onPacket(p);
}

auto RequestLoad::inProgress() const -> std::size_t {
  std::size_t n = 0;
  for (const auto &it : Clients)
    n += it->caller().inProgress();
  return n;
}

} // namespace boragebridge::bench
