#include "net/deflate.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

auto repetitiveText(std::size_t records) -> std::string {
  std::string out;
  for (std::size_t i = 0; i < records; ++i)
    out += R"({"key":"servers/i-)" + std::to_string(i * 7919) +
           R"(","value":"ready"})";
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NetDeflate)

BOOST_AUTO_TEST_CASE(InflateRestoresText) {
  constexpr std::size_t Limit = std::size_t{1} << 20;
  for (const auto &text : {std::string(), std::string("a"), repetitiveText(3),
                           repetitiveText(5000), std::string(70'000, 'x')}) {
    const auto data = deflate(text);
    BOOST_TEST_REQUIRE(data.ok());
    const auto r = inflate(*data, Limit);
    BOOST_TEST_REQUIRE(r.ok());
    BOOST_TEST((*r == text));
  }
  const auto text = repetitiveText(600);
  BOOST_TEST(deflate(text)->size() < text.size() / 4);
}

BOOST_AUTO_TEST_CASE(TornOrForeignDataIsInvalid) {
  constexpr std::size_t Limit = std::size_t{1} << 20;
  const auto data = *deflate(repetitiveText(600));
  for (const auto n :
       {std::size_t{0}, std::size_t{1}, data.size() / 2, data.size() - 1})
    BOOST_TEST(
        absl::IsInvalidArgument(inflate(data.substr(0, n), Limit).status()));
  auto flipped = data;
  flipped[data.size() / 2] ^= 1;
  BOOST_TEST(!inflate(flipped, Limit).ok());
  BOOST_TEST(absl::IsInvalidArgument(
      inflate("\xff\xff{\"objects\":[]}", Limit).status()));
}

// A few kilobytes can expand to gigabytes.
BOOST_AUTO_TEST_CASE(ResultIsLimited) {
  const auto data = *deflate(std::string(1'000'000, 'x'));
  BOOST_TEST(data.size() < 10'000U);
  BOOST_TEST(absl::IsResourceExhausted(inflate(data, 100'000).status()));
  BOOST_TEST(inflate(data, 1'000'000).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
