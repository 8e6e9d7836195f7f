#include "net/tcp_peer_link.h"

#include "net/asio_endpoint.h"
#include "net/net_events.h"
#include "net/peer_connections.h"

namespace boragebridge {

namespace asio = boost::asio;
using asio::ip::tcp;

TcpPeerLink::Shared::Shared(asio::io_context &io, InstanceIdentity self,
                            const Clock &time, RandomSource &random,
                            EventLog &log, const TcpPeerLinkOptions &opt)
    : Io(io), Self(std::move(self)), Time(time), Random(random), Log(log),
      Options(opt), Acceptor(io), Timer(io) {}

auto TcpPeerLink::Shared::listen() -> boost::system::error_code {
  boost::system::error_code ec;
  if (Acceptor.open(tcp::v4(), ec); ec)
    return ec;
  if (Acceptor.set_option(tcp::acceptor::reuse_address(true), ec); ec)
    return ec;
  if (Acceptor.bind(toAsio<tcp>(Self.PeerAddress), ec); ec)
    return ec;
  if (Acceptor.listen(asio::socket_base::max_listen_connections, ec); ec)
    return ec;
  Self.PeerAddress = fromAsio(Acceptor.local_endpoint(ec));
  return ec;
}

auto TcpPeerLink::Shared::accept() -> void {
  Acceptor.async_accept([self = shared_from_this()](auto ec,
                                                    tcp::socket socket) {
    if (self->Closed)
      return;
    if (!ec && self->Accepted.size() >= self->Options.MaxAccepted) {
      ++self->Counts.OverLimit;
      self->Log.write(events::PeerConnectionLimit, {});
    } else if (!ec) {
      ++self->Counts.Accepted;
      auto connection = std::make_shared<Incoming>(*self, std::move(socket));
      self->Accepted.insert(connection);
      connection->start();
    }
    self->accept();
  });
}

auto TcpPeerLink::Shared::check() -> void {
  auto now = Time.now();
  std::erase_if(Accepted, [now](const auto &it) { return it->check(now); });
  std::erase_if(Peers, [now](const auto &it) {
    const bool idle = it.second->check(now);
    if (idle)
      it.second->close();
    return idle;
  });
  Timer.expires_after(Options.CheckInterval);
  Timer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec && !self->Closed)
      self->check();
  });
}

auto TcpPeerLink::Shared::close() -> void {
  Closed = true;
  boost::system::error_code ec;
  Acceptor.close(ec);
  Timer.cancel();
  for (const auto &it : Accepted)
    it->close();
  for (const auto &[to, it] : Peers)
    it->close();
}

auto TcpPeerLink::Shared::outgoing(const Endpoint &to) -> Outgoing * {
  auto it = Peers.find(to);
  if (it != Peers.end())
    return it->second.get();
  if (Peers.size() >= Options.MaxPeers)
    return nullptr;
  auto connection = std::make_shared<Outgoing>(*this, to);
  return Peers.emplace(to, std::move(connection)).first->second.get();
}

auto TcpPeerLink::open(asio::io_context &io, const InstanceIdentity &self,
                       const Clock &time, RandomSource &random, EventLog &log,
                       const TcpPeerLinkOptions &opt)
    -> absl::StatusOr<std::unique_ptr<TcpPeerLink>> {
  auto state = std::make_shared<Shared>(io, self, time, random, log, opt);
  if (auto ec = state->listen())
    return absl::UnavailableError("cannot listen on TCP " +
                                  toString(self.PeerAddress) + ": " +
                                  ec.message());
  return std::unique_ptr<TcpPeerLink>(new TcpPeerLink(std::move(state)));
}

TcpPeerLink::TcpPeerLink(std::shared_ptr<Shared> state)
    : State(std::move(state)) {}

TcpPeerLink::~TcpPeerLink() { State->close(); }

auto TcpPeerLink::start(Handler h) -> void {
  State->Receive = std::move(h);
  State->accept();
  State->check();
}

auto TcpPeerLink::send(const Endpoint &to, std::uint16_t kind, Bytes body,
                       Priority pr) -> void {
  const auto &self = State->Self;
  auto frame = encodeFrame({self.Id, self.IncarnationNumber, self.PeerAddress,
                            kind, std::move(body)});
  auto *connection = frame.ok() ? State->outgoing(to) : nullptr;
  if (connection == nullptr) {
    ++State->Counts.FramesDropped;
    return;
  }
  connection->push(*std::move(frame), pr);
}

auto TcpPeerLink::localEndpoint() const -> Endpoint {
  return State->Self.PeerAddress;
}

auto TcpPeerLink::counts() const -> const TcpPeerLinkCounts & {
  return State->Counts;
}

auto TcpPeerLink::queuedFrames() const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[to, it] : State->Peers)
    n += it->queuedFrames();
  return n;
}

} // namespace boragebridge
