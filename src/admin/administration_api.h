/// \file
/// The administration API of an instance, free of I/O: the daemon's HTTP
/// server hands it complete requests. docs/API.md is its reference.
///
/// Example:
/// \code
///   api.handle({"GET", "/v1/configuration", {{"authorization", token}}, ""},
///              [](AdminResponse r) { ... });
/// \endcode
#ifndef BORAGEBRIDGE_ADMIN_ADMINISTRATION_API_H
#define BORAGEBRIDGE_ADMIN_ADMINISTRATION_API_H

#include "boragebridge/controller.h"

#include <functional>
#include <map>

namespace boragebridge {

class ConfigurationController;

/// One HTTP request whose body has arrived whole.
struct AdminRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// Names in lower case. Used: authorization, if-match, change-id.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Wall clock of the machine, for the change log that people read.
  std::chrono::system_clock::time_point ReceivedAt;
};

/// One HTTP response.
struct AdminResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// What a token permits.
enum class AdminRole : std::uint8_t {
  Reader,   ///< Reads everything.
  Team,     ///< Also changes the upstreams of its team's services.
  Platform, ///< Also imports sheets, withdraws data centres, and so on.
};

/// A token of the settings; only its hash is known.
struct AdminToken {
  /// SHA-256 of the token, 64 lower-case hexadecimal digits.
  std::string Sha256;
  /// The name that the change log shows.
  std::string Actor;
  AdminRole Role = AdminRole::Reader;
  /// The team of role Team.
  std::string Team;
};

/// Limits that keep one team from crowding out others.
struct AdminLimits {
  /// Largest accepted body; the HTTP server should refuse larger ones early.
  std::size_t BodyBytes = std::size_t{16} << 20;
  /// Largest body of role Team.
  std::size_t TeamBodyBytes = std::size_t{64} << 10;
  /// Changes of one token, per minute.
  double ChangesPerMinute = 60;
};

/// Tokens and limits; replaced as a whole when the settings are read again.
struct AdminSettings {
  std::vector<AdminToken> Tokens;
  AdminLimits Limits;
};

/// Checks and carries out administration requests. All calls come from the
/// instance's own thread.
class AdministrationApi {
public:
  using Done = std::function<void(AdminResponse)>;

  /// Every reference outlives the API.
  AdministrationApi(const Clock &clock, MetricRegistry &metrics, EventLog &log,
                    const Blackboard &board, ConfigurationController &config,
                    AdminSettings settings);
  AdministrationApi(const AdministrationApi &) = delete;
  auto operator=(const AdministrationApi &) -> AdministrationApi & = delete;
  ~AdministrationApi();

  /// Ends with exactly one call of \p done, from within the call or from a
  /// later tick of the instance, unless the API is destroyed first.
  auto handle(const AdminRequest &request, Done done) -> void;
  /// Answers "pending" for changes whose fate stays open for too long. Call it
  /// at every Instance::TickInterval.
  auto tick() -> void;
  /// Replaces tokens and limits, so that keys rotate without a restart.
  auto updateSettings(AdminSettings settings) -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace boragebridge

#endif
