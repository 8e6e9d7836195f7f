/// \file
/// One HTTP call on a connection of its own.
#ifndef BORAGEBRIDGE_NET_HTTP_CLIENT_H
#define BORAGEBRIDGE_NET_HTTP_CLIENT_H

#include "boragebridge/types.h"
#include "net/http.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

namespace boragebridge {

using HttpResponseHandler = std::function<void(absl::StatusOr<HttpResponse>)>;

/// Sends \p r to \p to and calls \p done once, from the thread of \p io and
/// not from within this call. Unavailable when the request cannot have been
/// read by the other end (no connection); DeadlineExceeded when there was no
/// whole answer within \p timeout or the connection ended in between.
auto httpCall(boost::asio::io_context &io, const Endpoint &to, HttpRequest r,
              Duration timeout, HttpResponseHandler done) -> void;

/// The same, waiting for the answer; for command-line programs.
auto httpCallAndWait(const Endpoint &to, HttpRequest r, Duration timeout)
    -> absl::StatusOr<HttpResponse>;

} // namespace boragebridge

#endif
