/// \file
/// Functions shared by all daemons: command line, settings check, signals.
///
/// Example:
/// \code
///   auto main(int argc, char **argv) -> int {
///     return runProgram<Settings>(argc, argv, {"name", "what it does"},
///                                 readSettings, run);
///   }
/// \endcode
#ifndef BORAGEBRIDGE_PROCESS_PROGRAM_H
#define BORAGEBRIDGE_PROCESS_PROGRAM_H

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <optional>
#include <string>

namespace boragebridge {

/// Exit statuses of the daemons.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailure = 1;
inline constexpr int ExitUsage = 2;

/// Texts for the help and messages of a program.
struct ProgramInfo {
  std::string Name;
  std::string Summary;
};

/// Result of parsing the command line.
struct ProgramOptions {
  std::string SettingsPath;
  bool CheckOnly = false;
};

/// Parses the command line into \p out. Returns the exit status if the program
/// must exit at once (--help, --version, a usage error), nothing otherwise.
auto parseProgramOptions(int argc, char **argv, const ProgramInfo &info,
                         ProgramOptions &out) -> std::optional<int>;

/// Writes "NAME: error: ..." to standard error and returns ExitFailure.
auto reportFailure(const ProgramInfo &info, const absl::Status &status) -> int;

/// Writes to standard output that --check found no error, and returns ExitOk.
auto reportChecked(const ProgramInfo &info, const std::string &path) -> int;

/// Calls \p stop once, at the first SIGTERM or SIGINT. Must exist for as long
/// as the io_context runs.
class StopSignal {
public:
  StopSignal(boost::asio::io_context &io, std::function<void()> stop);

private:
  boost::asio::signal_set Signals;
};

/// Parses the command line, reads the settings and, without --check, calls
/// \p run. Returns the exit status.
template <typename Settings>
auto runProgram(int argc, char **argv, const ProgramInfo &info,
                absl::StatusOr<Settings> (*read)(const std::string &path),
                absl::Status (*run)(const Settings &)) -> int {
  ProgramOptions opt;
  if (auto status = parseProgramOptions(argc, argv, info, opt))
    return *status;
  auto settings = read(opt.SettingsPath);
  if (!settings.ok())
    return reportFailure(info, settings.status());
  if (opt.CheckOnly)
    return reportChecked(info, opt.SettingsPath);
  auto status = run(*settings);
  return status.ok() ? ExitOk : reportFailure(info, status);
}

} // namespace boragebridge

#endif
