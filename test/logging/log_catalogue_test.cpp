#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

namespace boragebridge {

namespace {

struct CatalogueEntry {
  std::string Name;
  std::string Level;
};

using Catalogue = std::map<int, CatalogueEntry>;

auto readFile(const std::filesystem::path &path) -> std::string {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Adds the event of each match of \p pattern to \p all. The event number is in
/// group 1, its name and level are in \p nameGroup and \p levelGroup.
auto collect(const std::string &text, const std::regex &pattern, int nameGroup,
             int levelGroup, Catalogue &all) -> void {
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it) {
    auto level = (*it)[levelGroup].str();
    level.front() = static_cast<char>(std::tolower(level.front()));
    const auto added = all.emplace(std::stoi((*it)[1]),
                                   CatalogueEntry{(*it)[nameGroup], level})
                           .second;
    BOOST_TEST(added, "event number " << (*it)[1] << " is used twice");
  }
}

auto eventsInCode() -> Catalogue {
  const std::regex pattern(
      R"re(LogEvent\s+\w+\s*\{\s*(\d+),\s*Severity::(\w+),\s*"(\w+)")re");
  Catalogue all;
  const std::filesystem::path root = BORAGEBRIDGE_SOURCE_DIR;
  for (const auto &it :
       std::filesystem::recursive_directory_iterator(root / "src"))
    if (it.path().string().ends_with("_events.h"))
      collect(readFile(it.path()), pattern, 3, 2, all);
  return all;
}

auto eventsInDocs() -> Catalogue {
  const std::regex pattern(R"(\| (\d{4}) \| (\w+) \| (\w+) \|)");
  Catalogue all;
  const std::filesystem::path root = BORAGEBRIDGE_SOURCE_DIR;
  collect(readFile(root / "docs" / "LOGS.md"), pattern, 2, 3, all);
  return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogCatalogue)

BOOST_AUTO_TEST_CASE(CatalogueAndCodeListTheSameEvents) {
  const auto code = eventsInCode();
  const auto docs = eventsInDocs();
  BOOST_TEST(!code.empty());
  for (const auto &[number, it] : code) {
    const auto doc = docs.find(number);
    if (doc == docs.end()) {
      BOOST_ERROR("event " << number << " " << it.Name
                           << " is missing in docs/LOGS.md");
      continue;
    }
    BOOST_TEST(doc->second.Name == it.Name, "event " << number);
    BOOST_TEST(doc->second.Level == it.Level, "event " << number);
  }
  for (const auto &[number, it] : docs)
    BOOST_TEST(code.contains(number), "docs/LOGS.md lists event "
                                          << number << " " << it.Name
                                          << ", which no code has");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
