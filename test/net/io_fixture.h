/// \file
/// A fixture that runs an io_context until a condition holds. The time limit
/// only ends a test that hangs; no assertion depends on elapsed time.
#ifndef BORAGEBRIDGE_TEST_NET_IO_FIXTURE_H
#define BORAGEBRIDGE_TEST_NET_IO_FIXTURE_H

#include "boragebridge/types.h"

#include <boost/asio/io_context.hpp>

namespace boragebridge {

/// The loopback address with port 0, which selects a free port.
inline constexpr Endpoint AnyLoopbackPort{0x7F000001, 0};

struct IoFixture {
  boost::asio::io_context Io;

  /// Runs Io until \p done() returns true. Returns false after HangTimeout.
  template <typename Condition> auto runUntil(Condition done) -> bool {
    constexpr auto HangTimeout = std::chrono::seconds(20);
    constexpr auto PollTime = std::chrono::milliseconds(5);
    const auto end = std::chrono::steady_clock::now() + HangTimeout;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      Io.restart();
      Io.run_one_for(PollTime);
    }
    return true;
  }
};

} // namespace boragebridge

#endif
