#include "flow/slot_table.h"

#include <algorithm>
#include <array>
#include <bit>
#include <numeric>
#include <queue>

namespace boragebridge {

static constexpr unsigned FractionBits = 24;
static constexpr unsigned TableBits = 8;
static constexpr std::size_t TableSize = std::size_t{1} << TableBits;

/// log2(1 + i/TableSize) in fixed point, computed by repeated squaring.
static constexpr auto makeLogTable()
    -> std::array<std::uint64_t, TableSize + 1> {
  std::array<std::uint64_t, TableSize + 1> table{};
  for (std::size_t i = 0; i < TableSize; ++i) {
    // x is in [1, 2) with 31 fractional bits.
    std::uint64_t x = (std::uint64_t{1} << 31) + (i << (31 - TableBits));
    std::uint64_t result = 0;
    for (unsigned bit = 0; bit < FractionBits; ++bit) {
      x = (x * x) >> 31;
      result <<= 1;
      if (x >= (std::uint64_t{1} << 32)) {
        x >>= 1;
        result |= 1;
      }
    }
    table[i] = result;
  }
  table[TableSize] = std::uint64_t{1} << FractionBits;
  return table;
}

static constexpr auto LogTable = makeLogTable();

auto slotCountFor(std::size_t upstreams) -> std::uint32_t {
  constexpr std::size_t SlotsPerUpstream = 16;
  constexpr std::size_t MinSlots = 1024;
  constexpr std::size_t MaxSlots = 16384;
  return static_cast<std::uint32_t>(std::clamp(
      std::bit_ceil(upstreams * SlotsPerUpstream), MinSlots, MaxSlots));
}

auto negativeLog2(std::uint64_t h) -> std::uint64_t {
  h |= 1;
  const auto zeros = static_cast<unsigned>(std::countl_zero(h));
  // The bits after the leading one: first the index into the table, then the
  // rest for interpolation.
  const auto mantissa = zeros == 63 ? 0 : h << (zeros + 1);
  const auto index = static_cast<std::size_t>(mantissa >> (64 - TableBits));
  const auto rest = (mantissa << TableBits) >> 32;
  const auto low = LogTable[index];
  const auto step = LogTable[index + 1] - low;
  const auto fraction = low + ((step * rest) >> 32);
  const auto whole = std::uint64_t{zeros + 1} << FractionBits;
  return std::max<std::uint64_t>(1, whole - fraction);
}

auto slotQuotas(std::span<const WeightedUpstream> all, std::uint32_t slots)
    -> std::vector<std::uint32_t> {
  std::uint64_t total = 0;
  for (const auto &it : all)
    total += it.Weight;
  // When all weights are 0, the loop over the remainders below assigns every
  // slot.
  total = std::max<std::uint64_t>(total, 1);
  std::vector<std::uint32_t> quotas;
  std::uint32_t assigned = 0;
  for (const auto &it : all) {
    quotas.push_back(
        static_cast<std::uint32_t>(std::uint64_t{slots} * it.Weight / total));
    assigned += quotas.back();
  }
  std::vector<std::size_t> order(all.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const auto ra = std::uint64_t{slots} * all[a].Weight % total;
    const auto rb = std::uint64_t{slots} * all[b].Weight % total;
    return ra != rb ? ra > rb : all[a].Id < all[b].Id;
  });
  for (std::size_t i = 0; assigned < slots; ++i, ++assigned)
    ++quotas[order[i % order.size()]];
  return quotas;
}

namespace {

/// Deferred acceptance (Gale and Shapley): slots propose to upstreams in order
/// of score, and an upstream over its quota releases its lowest-scored slot.
class SlotMatcher {
public:
  SlotMatcher(ServiceId service, std::span<const WeightedUpstream> all,
              std::uint32_t slots)
      : All(all), Slots(slots), Quotas(slotQuotas(all, slots)),
        Scores(std::size_t{slots} * all.size()), Tried(Scores.size()),
        Assigned(all.size()), Table(slots) {
    for (const auto &it : all)
      Seeds.push_back(hashPair(raw(it.Id), raw(service)));
  }

  auto run() -> std::vector<UpstreamPosition> {
    fillScores();
    for (std::uint32_t slot = 0; slot < Slots; ++slot)
      place(slot);
    return std::move(Table);
  }

private:
  using Entry = std::pair<double, std::uint32_t>;
  using LowestFirst =
      std::priority_queue<Entry, std::vector<Entry>, std::greater<>>;

  auto at(std::uint32_t slot, std::size_t i) const -> std::size_t {
    return slot * All.size() + i;
  }

  auto fillScores() -> void {
    for (std::uint32_t slot = 0; slot < Slots; ++slot)
      for (std::size_t i = 0; i < All.size(); ++i)
        Scores[at(slot, i)] =
            double(All[i].Weight) /
            static_cast<double>(negativeLog2(hashPair(Seeds[i], slot)));
  }

  auto bestUntried(std::uint32_t slot) const -> std::size_t {
    auto best = All.size();
    for (std::size_t i = 0; i < All.size(); ++i) {
      if (Tried[at(slot, i)] || Quotas[i] == 0)
        continue;
      if (best == All.size() || Scores[at(slot, i)] > Scores[at(slot, best)])
        best = i;
    }
    return best;
  }

  /// Assigns \p slot, and then every slot that an upstream releases for it.
  auto place(std::uint32_t slot) -> void {
    for (;;) {
      const auto i = bestUntried(slot);
      Tried[at(slot, i)] = true;
      Assigned[i].emplace(Scores[at(slot, i)], slot);
      Table[slot] = static_cast<UpstreamPosition>(i);
      if (Assigned[i].size() <= Quotas[i])
        return;
      slot = Assigned[i].top().second;
      Assigned[i].pop();
    }
  }

  std::span<const WeightedUpstream> All;
  std::uint32_t Slots;
  std::vector<std::uint32_t> Quotas;
  std::vector<double> Scores;
  std::vector<bool> Tried;
  std::vector<LowestFirst> Assigned;
  std::vector<UpstreamPosition> Table;
  std::vector<std::uint64_t> Seeds;
};

} // namespace

auto buildSlotTable(ServiceId service, std::span<const WeightedUpstream> all,
                    std::uint32_t slots) -> std::vector<UpstreamPosition> {
  if (all.empty())
    return {};
  return SlotMatcher(service, all, slots).run();
}

} // namespace boragebridge
