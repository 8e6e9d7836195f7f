#include "scenario/scenario.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <limits>

namespace boragebridge::scenario {

namespace {

/// An error in the text of a scenario, with its line and column.
class ScenarioError : public std::runtime_error {
public:
  ScenarioError(const YAML::Mark &at, const std::string &what)
      : std::runtime_error(std::to_string(at.line + 1) + ":" +
                           std::to_string(at.column + 1) + ": " + what) {}
};

template <typename T>
auto as(const YAML::Node &n, const std::string &wanted) -> T {
  try {
    return n.as<T>();
  } catch (const YAML::Exception &) {
    throw ScenarioError(n.Mark(), "expected " + wanted);
  }
}

auto requireList(const YAML::Node &n) -> void {
  if (!n.IsSequence())
    throw ScenarioError(n.Mark(), "expected a list");
}

auto requireMap(const YAML::Node &n) -> void {
  if (!n.IsMap())
    throw ScenarioError(n.Mark(), "expected a map");
}

auto asDuration(const YAML::Node &n) -> Duration {
  const auto text = as<std::string>(n, "a time such as 1500ms or 10s");
  const auto unit = text.find_first_not_of("0123456789");
  const auto isSeconds = unit != std::string::npos && text.substr(unit) == "s";
  const auto isMillis = unit != std::string::npos && text.substr(unit) == "ms";
  constexpr std::size_t MaxDigits = 6;
  if (unit == 0 || unit > MaxDigits || (!isSeconds && !isMillis))
    throw ScenarioError(n.Mark(), "expected a time such as 1500ms or 10s");
  const auto value = std::stoll(text.substr(0, unit));
  if (isSeconds)
    return std::chrono::seconds(value);
  return std::chrono::milliseconds(value);
}

/// A field of T by its name in the scenario language, with its parser.
template <typename T> struct Field {
  std::string_view Name;
  void (*Set)(T &, const YAML::Node &);
};

template <typename T, std::size_t N>
auto readFields(T &to, const YAML::Node &n, const Field<T> (&fields)[N])
    -> void {
  requireMap(n);
  for (const auto &entry : n) {
    const auto name = entry.first.as<std::string>();
    const auto *it =
        std::find_if(std::begin(fields), std::end(fields),
                     [&](const Field<T> &f) { return f.Name == name; });
    if (it == std::end(fields))
      throw ScenarioError(entry.first.Mark(), "unknown word '" + name + "'");
    it->Set(to, entry.second);
  }
}

auto asCount(const YAML::Node &n) -> std::size_t {
  constexpr std::size_t MaxCount = 64;
  const auto v = as<std::size_t>(n, "a number from 0 to 64");
  if (v > MaxCount)
    throw ScenarioError(n.Mark(), "expected a number from 0 to 64");
  return v;
}

auto asNames(const YAML::Node &n) -> std::vector<std::string> {
  auto names = as<std::vector<std::string>>(n, "a list of names");
  if (names.empty())
    throw ScenarioError(n.Mark(), "expected at least one name");
  return names;
}

constexpr Field<Topology> TopologyFields[] = {
    {"seed",
     [](Topology &t, const YAML::Node &n) {
       t.Seed = as<std::uint64_t>(n, "a number");
     }},
    {"data_centres",
     [](Topology &t, const YAML::Node &n) { t.DataCentres = asNames(n); }},
    {"instances",
     [](Topology &t, const YAML::Node &n) { t.Instances = asCount(n); }},
    {"booking_hosts",
     [](Topology &t, const YAML::Node &n) { t.BookingHosts = asCount(n); }},
    {"upload_hosts",
     [](Topology &t, const YAML::Node &n) { t.UploadHosts = asCount(n); }},
    {"callers",
     [](Topology &t, const YAML::Node &n) { t.Callers = asCount(n); }},
};

constexpr Field<Load> LoadFields[] = {
    {"requests",
     [](Load &l, const YAML::Node &n) {
       l.RequestsPerSecond = as<double>(n, "requests a second");
     }},
    {"flows",
     [](Load &l, const YAML::Node &n) {
       l.FlowsPerSecond = as<double>(n, "new flows a second");
     }},
};

auto readEvent(const YAML::Node &n, const Topology &t) -> Event {
  requireMap(n);
  Event e;
  for (const auto &entry : n) {
    const auto word = entry.first.as<std::string>();
    if (word == "at") {
      e.At = asDuration(entry.second);
      continue;
    }
    const auto *verb = findVerb(word);
    if (verb == nullptr || e.Action != nullptr)
      throw ScenarioError(entry.first.Mark(), "unknown verb '" + word + "'");
    const auto wanted = std::string(describe(verb->Argument));
    e.Action = verb;
    e.Argument = as<std::string>(entry.second, wanted);
    if (!isValidArgument(verb->Argument, e.Argument, t))
      throw ScenarioError(entry.second.Mark(), "expected " + wanted);
  }
  if (e.Action == nullptr)
    throw ScenarioError(n.Mark(), "an event needs a verb");
  return e;
}

auto readInvariant(Scenario &s, const YAML::Node &n) -> void {
  const auto name = as<std::string>(n, "a promise");
  if (name == "all") {
    for (const auto &it : allInvariants())
      s.Invariants.push_back(&it);
    return;
  }
  const auto *invariant = findInvariant(name);
  if (invariant == nullptr)
    throw ScenarioError(n.Mark(), "unknown promise '" + name + "'");
  s.Invariants.push_back(invariant);
}

auto readExpectation(Scenario &s, const YAML::Node &n) -> void {
  requireMap(n);
  Bound b;
  b.AtMost = std::numeric_limits<double>::max();
  for (const auto &entry : n) {
    const auto word = entry.first.as<std::string>();
    if (word == "promise") {
      readInvariant(s, entry.second);
      continue;
    }
    if (word == "measure") {
      const auto name = as<std::string>(entry.second, "a measure");
      b.BoundedMeasure = findMeasure(name);
      if (b.BoundedMeasure == nullptr)
        throw ScenarioError(entry.second.Mark(),
                            "unknown measure '" + name + "'");
    } else if (word == "at_least") {
      b.AtLeast = as<double>(entry.second, "a number");
    } else if (word == "at_most") {
      b.AtMost = as<double>(entry.second, "a number");
    } else {
      throw ScenarioError(entry.first.Mark(), "unknown word '" + word + "'");
    }
  }
  if (b.BoundedMeasure != nullptr)
    s.Bounds.push_back(b);
}

auto readExpectations(Scenario &s, const YAML::Node &n) -> void {
  requireList(n);
  for (const auto &it : n)
    readExpectation(s, it);
}

auto readEvents(Scenario &s, const YAML::Node &n) -> void {
  requireList(n);
  for (const auto &it : n)
    s.Events.push_back(readEvent(it, s.InitialTopology));
  std::stable_sort(s.Events.begin(), s.Events.end(),
                   [](const Event &a, const Event &b) { return a.At < b.At; });
}

auto readScenario(const YAML::Node &root) -> Scenario {
  Scenario s;
  requireMap(root);
  // The topology is read first: events are checked against its names.
  if (root["topology"])
    readFields(s.InitialTopology, root["topology"], TopologyFields);
  for (const auto &entry : root) {
    const auto word = entry.first.as<std::string>();
    if (word == "load")
      readFields(s.Traffic, entry.second, LoadFields);
    else if (word == "events")
      readEvents(s, entry.second);
    else if (word == "run")
      s.Length = asDuration(entry.second);
    else if (word == "expect")
      readExpectations(s, entry.second);
    else if (word != "topology" && word != "about")
      throw ScenarioError(entry.first.Mark(), "unknown word '" + word + "'");
  }
  if (s.Invariants.empty() && s.Bounds.empty())
    throw ScenarioError(root.Mark(), "a scenario needs an expectation");
  return s;
}

} // namespace

auto parseScenario(const std::string &text) -> absl::StatusOr<Scenario> {
  try {
    return readScenario(YAML::Load(text));
  } catch (const YAML::ParserException &e) {
    return absl::InvalidArgumentError(std::to_string(e.mark.line + 1) + ":" +
                                      std::to_string(e.mark.column + 1) + ": " +
                                      e.msg);
  } catch (const std::runtime_error &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

auto playScenario(const Scenario &s) -> std::vector<std::string> {
  SystemWorld world(s.InitialTopology);
  world.setLoad(s.Traffic);
  world.settle();
  const auto begin = world.now();
  for (const auto &it : s.Events) {
    world.run(begin + it.At - world.now());
    it.Action->Act(world, it.Argument);
  }
  world.run(begin + s.Length - world.now());
  std::vector<std::string> failures;
  for (const auto *it : s.Invariants)
    if (const auto n = it->CountViolations(world); n != 0)
      failures.push_back(std::string(it->Name) + " violated " +
                         std::to_string(n) +
                         " times: " + std::string(it->Meaning));
  for (const auto &it : s.Bounds) {
    const auto v = it.BoundedMeasure->Read(world);
    if (v < it.AtLeast || v > it.AtMost)
      failures.push_back(std::string(it.BoundedMeasure->Name) + " is " +
                         std::to_string(v));
  }
  return failures;
}

auto toString(const Event &e) -> std::string {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(e.At).count();
  return "{at: " + std::to_string(ms) + "ms, " + std::string(e.Action->Name) +
         ": " + e.Argument + "}";
}

} // namespace boragebridge::scenario
