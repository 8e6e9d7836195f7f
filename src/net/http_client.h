/// \file
/// HTTP calls; each call opens a connection and closes it at the end.
#ifndef BORAGEBRIDGE_NET_HTTP_CLIENT_H
#define BORAGEBRIDGE_NET_HTTP_CLIENT_H

#include "boragebridge/types.h"
#include "net/http.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

namespace boragebridge {

/// Receives the response or the error of one call.
using HttpResponseHandler = std::function<void(absl::StatusOr<HttpResponse>)>;

/// Sends \p r to \p to and calls \p done once, from the thread of \p io and
/// never from within this call. The error is Unavailable when no connection was
/// made, so that the server cannot have read the request. It is
/// DeadlineExceeded when no complete response arrived within \p timeout or the
/// connection failed in between; the server may then have run the request.
auto httpCall(boost::asio::io_context &io, const Endpoint &to, HttpRequest r,
              Duration timeout, HttpResponseHandler done) -> void;

/// Calls httpCall() and blocks until the call ends. For command-line programs.
auto httpCallAndWait(const Endpoint &to, HttpRequest r, Duration timeout)
    -> absl::StatusOr<HttpResponse>;

} // namespace boragebridge

#endif
