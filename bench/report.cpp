// boragebench report: writes a Markdown page from the last lines of the outputs
// of experiments.
#include "experiments.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace boragebridge::bench {

namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr const char *BaselinePrefix = "baselines.";

/// The figures of one experiment by key; the key of a nested figure is its path
/// with dots.
using Figures = std::map<std::string, std::string>;

struct ReportOptions {
  fs::path In;
  fs::path Previous;
  fs::path Out;
  std::string Machine;
};

auto formatNumber(double v) -> std::string {
  std::ostringstream out;
  out << std::setprecision(5) << v;
  return out.str();
}

auto formatValue(const json::value &v) -> std::string {
  if (v.is_double())
    return formatNumber(v.as_double());
  if (v.is_string())
    return std::string(v.as_string());
  return json::serialize(v);
}

auto flatten(const std::string &prefix, const json::value &v, Figures &all)
    -> void {
  if (const auto *o = v.if_object()) {
    for (const auto &it : *o)
      flatten(prefix.empty() ? std::string(it.key())
                             : prefix + "." + std::string(it.key()),
              it.value(), all);
    return;
  }
  all[prefix] = formatValue(v);
}

/// Returns the last non-empty line of \p path.
auto lastLine(const fs::path &path) -> std::string {
  std::ifstream in(path);
  std::string last;
  for (std::string line; std::getline(in, line);)
    if (!line.empty())
      last = line;
  return last;
}

/// Returns the figures in the last line of \p path. Prints a message and
/// returns no figures when the line is not a JSON object.
auto readFigures(const fs::path &path) -> Figures {
  Figures all;
  boost::system::error_code ec;
  const auto v = json::parse(lastLine(path), ec);
  if (ec || !v.is_object())
    std::cerr << path.string()
              << ": the last non-empty line is not a JSON object\n";
  else
    flatten("", v, all);
  return all;
}

/// Returns the names of the baselines in \p all, from keys
/// "baselines.NAME.KEY".
auto baselineNames(const Figures &all) -> std::vector<std::string> {
  const std::string prefix = BaselinePrefix;
  std::vector<std::string> names;
  for (const auto &[key, value] : all) {
    if (!key.starts_with(prefix))
      continue;
    const auto name =
        key.substr(prefix.size(), key.find('.', prefix.size()) - prefix.size());
    if (names.empty() || names.back() != name)
      names.push_back(name);
  }
  return names;
}

/// Returns the key under which \p key of baseline \p name is listed.
auto baselineKey(std::string name, const std::string &key) -> std::string {
  name.insert(0, BaselinePrefix);
  name += '.';
  name += key;
  return name;
}

auto valueOf(const Figures &all, const std::string &key) -> std::string {
  auto it = all.find(key);
  return it == all.end() ? "" : it->second;
}

auto writeTable(std::ostream &out, const Figures &now, const Figures &before)
    -> void {
  const auto baselines = baselineNames(now);
  out << "| key | measured |";
  for (const auto &it : baselines)
    out << ' ' << it << " |";
  out << " last recorded |\n|---|---|";
  for (std::size_t n = 0; n < baselines.size(); ++n)
    out << "---|";
  out << "---|\n";
  for (const auto &[key, value] : now) {
    if (key.starts_with(BaselinePrefix))
      continue;
    out << "| " << key << " | " << value << " |";
    for (auto name : baselines)
      out << ' ' << valueOf(now, baselineKey(std::move(name), key)) << " |";
    out << ' ' << valueOf(before, key) << " |\n";
  }
}

auto sortedInputs(const fs::path &dir) -> std::vector<fs::path> {
  std::vector<fs::path> all;
  for (const auto &it : fs::directory_iterator(dir))
    if (it.path().extension() == ".txt")
      all.push_back(it.path());
  std::sort(all.begin(), all.end());
  return all;
}

auto writeReport(const ReportOptions &opt) -> int {
  std::ofstream out(opt.Out);
  out << "# Measures\n\nWritten by `tools/report`, which runs every experiment "
         "below with its fixed seed.\nMachine: "
      << opt.Machine
      << ".\nFigures on the manual clock repeat exactly; wall-clock figures "
         "(decisions per\nsecond, processor time) hold for this machine only. "
         "Baselines run on the same\ninput in the same run. Stand-ins take the "
         "place of fabric, upstreams and platform,\nso no figure shows the "
         "cost of a real network.\n";
  auto status = 0;
  for (const auto &path : sortedInputs(opt.In)) {
    const auto now = readFigures(path);
    if (now.empty()) {
      status = 1;
      continue;
    }
    const auto old = opt.Previous / path.filename();
    const auto before = fs::exists(old) ? readFigures(old) : Figures{};
    std::ifstream first(path);
    std::string command;
    std::getline(first, command);
    out << "\n## " << path.stem().string() << "\n\n    " << command << "\n\n";
    const auto figure = "figures/" + path.stem().string() + ".svg";
    if (fs::exists(opt.Out.parent_path() / figure))
      out << "![" << path.stem().string() << "](" << figure << ")\n\n";
    writeTable(out, now, before);
  }
  return out ? status : 1;
}

} // namespace

auto runReport(int argc, char **argv) -> int {
  cxxopts::Options spec("boragebench report",
                        "Writes a page from the outputs of experiments.");
  spec.add_options()("in",
                     "folder of outputs, NAME.txt each: the command, "
                     "then the output with its last line JSON",
                     cxxopts::value<std::string>())(
      "previous", "folder of the last recorded outputs",
      cxxopts::value<std::string>()->default_value(""))(
      "out", "the page to write", cxxopts::value<std::string>())(
      "machine", "what the page says of the machine",
      cxxopts::value<std::string>()->default_value("not stated"))("h,help",
                                                                  "print this");
  constexpr int UsageError = 2;
  try {
    const auto args = spec.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << spec.help() << '\n';
      return 0;
    }
    return writeReport(
        {args["in"].as<std::string>(), args["previous"].as<std::string>(),
         args["out"].as<std::string>(), args["machine"].as<std::string>()});
  } catch (const cxxopts::exceptions::exception &e) {
    std::cerr << "boragebench report: " << e.what() << '\n';
  } catch (const fs::filesystem_error &e) {
    std::cerr << "boragebench report: " << e.what() << '\n';
  }
  return UsageError;
}

} // namespace boragebridge::bench
