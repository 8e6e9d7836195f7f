#include "flow/slot_table.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

namespace boragebridge {

namespace {

auto makeUpstreams(std::size_t n) -> std::vector<WeightedUpstream> {
  std::vector<WeightedUpstream> all;
  for (std::size_t i = 0; i < n; ++i)
    all.push_back({UpstreamId{hashPair(i, 7)}, 64});
  return all;
}

auto countMoved(const std::vector<WeightedUpstream> &a,
                const std::vector<WeightedUpstream> &b, std::uint32_t slots)
    -> std::uint32_t {
  const auto before = buildSlotTable(ServiceId{1}, a, slots);
  const auto after = buildSlotTable(ServiceId{1}, b, slots);
  std::uint32_t moved = 0;
  for (std::uint32_t i = 0; i < slots; ++i)
    moved += a[before[i]].Id != b[after[i]].Id ? 1 : 0;
  return moved;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotTable)

BOOST_AUTO_TEST_CASE(LogarithmIsAccurateAndMonotonic) {
  std::uint64_t last = ~std::uint64_t{0};
  for (std::uint64_t h = 1; h < (std::uint64_t{1} << 62); h = h * 3 + 1) {
    const auto v = negativeLog2(h);
    const auto exact = 64 - std::log2(static_cast<double>(h | 1));
    BOOST_TEST(std::abs(static_cast<double>(v) / (1 << 24) - exact) < 1e-4);
    BOOST_TEST(v < last);
    last = v;
  }
}

BOOST_AUTO_TEST_CASE(EachUpstreamHoldsItsExactShare) {
  auto all = makeUpstreams(15);
  all[3].Weight = 8;
  const auto quotas = slotQuotas(all, 1024);
  std::map<UpstreamPosition, std::uint32_t> held;
  for (auto i : buildSlotTable(ServiceId{1}, all, 1024))
    ++held[i];
  for (std::size_t i = 0; i < all.size(); ++i)
    BOOST_TEST(held[static_cast<UpstreamPosition>(i)] == quotas[i]);
  BOOST_TEST(quotas[3] < quotas[4] / 7);
}

BOOST_AUTO_TEST_CASE(UpstreamOrderDoesNotMatter) {
  const auto all = makeUpstreams(9);
  const std::vector<WeightedUpstream> reversed(all.rbegin(), all.rend());
  BOOST_TEST(countMoved(all, reversed, 1024) == 0U);
}

BOOST_AUTO_TEST_CASE(RemovedUpstreamMovesFewOtherSlots) {
  const auto all = makeUpstreams(15);
  auto fewer = all;
  fewer.pop_back();
  // The removed upstream had 1 slot in 15; hashing modulo the number of
  // upstreams would move 14 in 15.
  BOOST_TEST(countMoved(all, fewer, 1024) <= 2 * 1024 / 15);
}

BOOST_AUTO_TEST_CASE(OneChangedWeightMovesFewSlots) {
  const auto all = makeUpstreams(15);
  auto changed = all;
  changed[5].Weight = 32;
  BOOST_TEST(countMoved(all, changed, 1024) <= 2 * 1024 / 30);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
