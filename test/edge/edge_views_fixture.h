/// \file
/// The views of one instance over a store that a test answers call by call, and
/// texts of records.
#ifndef BORAGEBRIDGE_TEST_EDGE_EDGE_VIEWS_FIXTURE_H
#define BORAGEBRIDGE_TEST_EDGE_EDGE_VIEWS_FIXTURE_H

#include "../store/scripted_store.h"
#include "edge/edge_views.h"
#include "record_codec.h"

namespace boragebridge {

inline constexpr auto SmallConfiguration =
    R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1",
        "pathPrefix":"/443/","service":"s"}],
        "services":[{"name":"s","warmupPerS":0}],"limits":{}})";

inline auto upstreamText(int port, const std::string &state = "ready",
                         const std::string &zone = "z") -> std::string {
  return R"({"service":"s","address":"10.128.0.9:)" + std::to_string(port) +
         R"(","zone":")" + zone + R"(","version":"v1","slots":2,"state":")" +
         state + R"(","warmupLeftMs":0,"sequence":1,"born":5})";
}

/// A configuration of \p routes routes, the last one with another port.
inline auto largeConfiguration(int version, int routes, int lastPort)
    -> std::string {
  std::string out = R"({"version":)" + std::to_string(version) +
                    R"(,"services":[{"name":"s"}],"limits":{},"routes":[)";
  for (int i = 0; i < routes; ++i) {
    const auto port = i + 1 == routes ? lastPort : 443;
    out += (i == 0 ? "" : ",") + (R"({"name":"r)" + std::to_string(i)) +
           R"(","host":"198.18.)" + std::to_string(i / 250) + '.' +
           std::to_string(i % 250) + R"(","pathPrefix":"/)" +
           std::to_string(port) + R"(/","service":"s"})";
  }
  return out + "]}";
}

struct ViewsFixture {
  ScriptedStore Store;
  ManualClock Time;
  SeededRandom Random{1};
  NullEventLog Log;
  UpstreamDirectory Directory;
  ColdStartQuota Quota{"a", {.Factor = 1, .Slack = 5}};
  users::RecordCodec Format;
  /// Clients of other instances' mirrors, in order of creation.
  std::vector<ScriptedStore *> Peers;
  MirroredPlatform Platform{Store, Time,
                            [this](const Endpoint &, MirrorView) {
                              auto client = std::make_unique<ScriptedStore>();
                              Peers.push_back(client.get());
                              return client;
                            },
                            [](const auto &, const auto &) {}};
  MemberRecord Self{"a", DataCentreId{1}, {0x0A000001, 8166}, 55};
  EdgeViews Views{Time,   Random,    Log,   Platform,
                  Format, Directory, Quota, {.Self = Self}};

  /// A member that ranks above this instance, and becomes its parent.
  auto strongerMember(const std::string &name = "b") const -> MemberRecord {
    auto m = Self;
    m.Name = name;
    m.Capacity = 500;
    m.Address.Address += static_cast<std::uint32_t>(name.front() - 'a');
    return m;
  }
  auto advance(Duration d) -> void {
    Time.advance(d);
    Views.tick(Time.now());
  }
  auto start() -> void {
    Views.tick(Time.now());
    Store.answer(
        "config/",
        ObjectList{{{{"config/main", SmallConfiguration, 3}, false}}, 9});
    Store.answer("servers/",
                 ObjectList{{{{"servers/i-1", upstreamText(1), 4}, false},
                             {{"servers/i-2", "\"\xff\"", 5}, false}},
                            9});
    Store.answer("evacuations/", ObjectList{{}, 9});
    Views.tick(Time.now());
  }
  auto find(const std::string &name) const -> const UpstreamLifetime * {
    return Directory.find(tagOf(name, std::chrono::milliseconds(5)));
  }
};

} // namespace boragebridge

#endif
