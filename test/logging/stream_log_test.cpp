#include "logging/stream_log.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <array>

namespace boragebridge {

namespace {

constexpr LogEvent Sample{1, Severity::Info, "sample"};

/// Provides a pipe for the log to write to.
struct StreamLogFixture {
  std::array<int, 2> Pipe{};
  ManualClock Time;

  StreamLogFixture() { BOOST_TEST_REQUIRE(::pipe(Pipe.data()) == 0); }
  ~StreamLogFixture() {
    ::close(Pipe[0]);
    ::close(Pipe[1]);
  }
  StreamLogFixture(const StreamLogFixture &) = delete;
  auto operator=(const StreamLogFixture &) -> StreamLogFixture & = delete;

  auto readPipe() const -> std::string {
    std::string text(1 << 20, '\0');
    const auto n = ::read(Pipe[0], text.data(), text.size());
    text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return text;
  }
  static auto countLines(const std::string &s) -> long {
    return std::count(s.begin(), s.end(), '\n');
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamLogging, StreamLogFixture)

BOOST_AUTO_TEST_CASE(FlushWritesBufferedLines) {
  StreamLog log("a", Time, {.Descriptor = Pipe[1]});
  log.write(Sample, {{"x", "1"}});
  log.flush();
  const auto text = readPipe();
  BOOST_TEST(text.find("level=info event=1 name=sample process=a x=1\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(LinesOverTheRateLimitAreDroppedAndCounted) {
  StreamLog log("a", Time, {.Descriptor = Pipe[1], .LinesPerSecond = 10});
  for (int i = 0; i < 25; ++i)
    log.write(Sample, {});
  log.flush();
  const auto text = readPipe();
  BOOST_TEST(countLines(text) == 11);
  BOOST_TEST(text.find("name=lines_left_out process=a count=15") !=
             std::string::npos);
  Time.advance(std::chrono::seconds(1));
  BOOST_TEST(log.wouldWrite(Sample));
}

BOOST_AUTO_TEST_CASE(FullPipeDropsLinesWithoutBlocking) {
  StreamLog log("a", Time,
                {.Descriptor = Pipe[1],
                 .LinesPerSecond = 1'000'000,
                 .BufferBytes = 4096});
  for (int i = 0; i < 20'000; ++i) {
    log.write(Sample, {{"x", std::string(20, 'x')}});
    if (i % 10 == 0)
      log.flush();
  }
  BOOST_TEST(log.droppedLines() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
