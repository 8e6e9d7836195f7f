#include "process/program.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace boragebridge {

auto parseProgramOptions(int argc, char **argv, const ProgramInfo &info,
                         ProgramOptions &out) -> std::optional<int> {
  cxxopts::Options options(info.Name, info.Summary);
  options.positional_help("SETTINGS.yaml");
  options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>())(
      "check", "check the settings and exit: 0 good, 1 not")(
      "version", "print the version")("help", "print this text");
  options.parse_positional({"settings"});
  try {
    auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help();
      return ExitOk;
    }
    if (args.count("version") != 0) {
      std::cout << info.Name << " " BORAGEBRIDGE_VERSION "\n";
      return ExitOk;
    }
    if (args.count("settings") == 0) {
      std::cerr << info.Name << ": no settings file given; see --help\n";
      return ExitUsage;
    }
    out.SettingsPath = args["settings"].as<std::string>();
    out.CheckOnly = args.count("check") != 0;
    return std::nullopt;
  } catch (const std::exception &e) {
    std::cerr << info.Name << ": " << e.what() << "; see --help\n";
    return ExitUsage;
  }
}

auto reportFailure(const ProgramInfo &info, const absl::Status &status) -> int {
  std::cerr << info.Name << ": error: " << status.message() << '\n';
  return ExitFailure;
}

auto reportChecked(const ProgramInfo &info, const std::string &path) -> int {
  std::cout << info.Name << ": " << path << " is good\n";
  return ExitOk;
}

StopSignal::StopSignal(boost::asio::io_context &io, std::function<void()> stop)
    : Signals(io, SIGTERM, SIGINT) {
  Signals.async_wait([stop = std::move(stop)](auto ec, int) {
    if (!ec)
      stop();
  });
}

} // namespace boragebridge
