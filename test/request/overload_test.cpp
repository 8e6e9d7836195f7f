#include "request/overload.h"

#include "request/answer.h"
#include "request/fair_queue.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

BOOST_AUTO_TEST_SUITE(Overload)

BOOST_AUTO_TEST_CASE(InternalRetriesStayUnderATenthOfRequests) {
  RetryBudget budget;
  int retries = 0;
  constexpr int Requests = 1000;
  for (int n = 0; n < Requests; ++n) {
    budget.onFirstAttempt();
    retries += budget.take() ? 1 : 0;
  }
  BOOST_TEST(retries > 0);
  BOOST_TEST(retries * 10 < Requests);
}

BOOST_AUTO_TEST_CASE(RetryAfterIsJittered) {
  SeededRandom random(5);
  const Duration wait = std::chrono::seconds(1);
  auto lowest = Duration::max();
  auto highest = Duration::zero();
  for (int n = 0; n < 200; ++n) {
    const auto d = retryAfter(wait, random);
    lowest = std::min(lowest, d);
    highest = std::max(highest, d);
  }
  BOOST_TEST((highest - lowest > wait / 2));
}

BOOST_AUTO_TEST_CASE(FullRefusedRequestSetRejectsNewEntries) {
  RefusedRequestSet refused;
  const TimePoint now{};
  for (std::size_t n = 0; n < RefusedRequestSet::MaxRequests; ++n)
    BOOST_REQUIRE(refused.add(CallerId{1}, n, now));
  BOOST_TEST(!refused.add(CallerId{2}, 1, now));
  BOOST_TEST(refused.contains(CallerId{1}, 0));
  refused.tick(now + RefusedRequestSet::RetentionTime);
  BOOST_TEST(!refused.contains(CallerId{1}, 0));
}

BOOST_AUTO_TEST_CASE(QueueOfOneServiceLeavesRoomForAnother) {
  FairQueue queue(100);
  const ServiceId busy{1};
  const ServiceId idle{2};
  std::uint32_t n = 0;
  while (queue.push(busy, {n, {}}))
    ++n;
  BOOST_TEST(n < 100U);
  BOOST_TEST(queue.push(idle, {1000, {}}));
  QueuedRequest q;
  BOOST_TEST(queue.pop(idle, q));
  BOOST_TEST(q.Attempt == 1000U);
}

BOOST_AUTO_TEST_CASE(LateRequestsAreRemoved) {
  FairQueue queue(100);
  const TimePoint t{std::chrono::seconds(10)};
  BOOST_TEST(queue.push(ServiceId{1}, {1, t}));
  BOOST_TEST(queue.push(ServiceId{1}, {2, t + std::chrono::seconds(5)}));
  const auto late = queue.takeLate(ServiceId{1}, t + std::chrono::seconds(1));
  BOOST_TEST(late.size() == 1U);
  BOOST_TEST(queue.total() == 1U);
}

BOOST_AUTO_TEST_CASE(IncompleteOrMixedAnswerIsNeverReturned) {
  Bytes body(3 * ChunkSize + 7, std::byte{5});
  const auto digest = digestAnswer(body);
  const auto count = chunkCount(body.size());
  AnswerAssembler a;
  for (std::size_t n = 1; n < count; ++n)
    a.add(n, count, digest, chunkOf(body, n));
  BOOST_TEST(!a.take().has_value());
  Bytes other(ChunkSize, std::byte{6});
  a.add(0, count, digest + 1, other);
  BOOST_TEST(!a.take().has_value());
  AnswerAssembler b = a;
  b.add(0, count, digest, other);
  BOOST_TEST(!b.take().has_value());
  a.add(0, count, digest, chunkOf(body, 0));
  BOOST_TEST((a.take() == body));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
