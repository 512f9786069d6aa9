// HttpPoller sends the HTTP GET requests with which the endpoint list is polled. It sends one request at a
// time, each on a new connection and with a time limit for connecting, sending and reading together.
//
// Thread: the decision thread, in Asio coroutines. Only one of get() and sleep() may be in progress.
//
// Time limit: if a source is stopped or the network drops its packets, a read without a time limit would
// never return. The router would continue with an outdated list, and the only symptoms would be engines that
// get no requests or requests to engines that no longer exist. Therefore the socket is closed when the limit
// is over; get() then throws, and the caller logs the failure and polls again on a new connection.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "daemon/clock.hpp"

namespace heronwell::daemon {

class HttpPoller {
 public:
  // `router_name` is sent with each request in the header x-heronwell-gateway, for the log of the source.
  HttpPoller(Executor executor, std::string router_name);

  struct Response {
    std::string body;
    std::uint64_t consul_index = 0;  // header x-consul-index; 0 without it
  };
  // Sends a GET request for `target` to `server` and returns the response. Throws if the connection fails,
  // the time limit is over, the response is incomplete or not valid HTTP, or its status is not 200.
  asio::awaitable<Response, Executor> get(config::Address server, std::string target, Time limit);

  // Waits for `duration` or until interrupt() is called.
  asio::awaitable<void, Executor> sleep(Time duration);

  // Ends the operation in progress: get() throws, sleep() returns.
  void interrupt();

 private:
  // Closes `socket` when the limit is over.
  void start_limit(Time limit, const std::shared_ptr<Socket>& socket);

  Executor executor_;
  std::string router_name_;
  std::shared_ptr<Socket> socket_;  // of the request in progress, or of the last
  SteadyTimer timer_;               // time limit of get() or end of sleep()
};

}  // namespace heronwell::daemon
