/// \file
/// The administration API of an instance. It does no I/O: the HTTP server of
/// the daemon passes complete requests to it. docs/API.md is the reference.
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

/// A complete HTTP request.
struct AdminRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// Headers by lower-case name. The API uses authorization, if-match and
  /// change-id.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// When the request arrived, by the wall clock of the machine. Recorded in
  /// the change log, for people.
  std::chrono::system_clock::time_point ReceivedAt;
};

/// An HTTP response.
struct AdminResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// The permissions of a token.
enum class AdminRole : std::uint8_t {
  Reader,   ///< Reads everything.
  Team,     ///< Also changes the upstreams of its team's services.
  Platform, ///< Makes every change, sheet imports and withdrawals included.
};

/// A token as the settings list it. Only its hash is stored.
struct AdminToken {
  /// SHA-256 of the token, 64 lower-case hexadecimal digits.
  std::string Sha256;
  /// The name that the change log shows.
  std::string Actor;
  AdminRole Role = AdminRole::Reader;
  /// The team of role Team.
  std::string Team;
};

/// Limits that prevent one team from using up the capacity for changes.
struct AdminLimits {
  /// Size limit of a body. The HTTP server should refuse larger ones early.
  std::size_t BodyBytes = std::size_t{16} << 20;
  /// Size limit of a body for tokens of other roles than Platform.
  std::size_t TeamBodyBytes = std::size_t{64} << 10;
  /// Changes of one actor per minute.
  double ChangesPerMinute = 60;
};

/// Tokens and limits. They are replaced as a whole when the settings are read
/// again.
struct AdminSettings {
  std::vector<AdminToken> Tokens;
  AdminLimits Limits;
};

/// Checks and executes administration requests. Not thread-safe: all calls are
/// made on the thread of the instance.
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

  /// Executes \p request. Calls \p done exactly once, before it returns or from
  /// a later tick of the instance, unless the API is destroyed first.
  auto handle(const AdminRequest &request, Done done) -> void;
  /// Responds with "pending" to changes whose outcome has been unknown for too
  /// long. Call it at every Instance::TickInterval.
  auto tick() -> void;
  /// Replaces tokens and limits, so that keys can be rotated without a restart.
  auto updateSettings(AdminSettings settings) -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace boragebridge

#endif
