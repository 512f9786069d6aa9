#include "daemon/http_poller.hpp"

#include <fmt/format.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <stdexcept>

#include "http/message.hpp"

namespace heronwell::daemon {
namespace {

constexpr auto kAwait = asio::use_awaitable_t<Executor>{};
// The maximum size of a response. A list of 10,000 engines has a few MiB; a longer response is treated as an
// error before it exhausts the router's memory.
constexpr std::size_t kMaxResponseBytes = 64 << 20;
constexpr std::size_t kReadChunkBytes = 16 << 10;

// Parses the bytes in `buffer`, removes them from it and appends the parsed part of the response's body to
// `body`. `ended`: the server has closed its side of the connection. Returns true if the response is
// complete.
bool parse_available(http::Parser& parser, std::string& buffer, std::string& body, bool ended) {
  while (true) {
    const auto step = ended && buffer.empty() ? parser.close() : parser.next(buffer);
    body.append(step.body);
    buffer.erase(0, step.consumed);
    if (step.event == http::Parser::Event::error) throw std::runtime_error("invalid HTTP response");
    if (step.event == http::Parser::Event::need_more) return false;
    if (step.event == http::Parser::Event::end) return true;
  }
}

std::uint64_t read_consul_index(const http::Parser& parser) {
  std::uint64_t index = 0;
  if (const auto field = parser.find("x-consul-index"))
    std::from_chars(field->data(), field->data() + field->size(), index);
  return index;
}

}  // namespace

HttpPoller::HttpPoller(Executor executor, std::string router_name)
    : executor_(executor), router_name_(std::move(router_name)), timer_(executor) {}

asio::awaitable<void, Executor> HttpPoller::sleep(Time duration) {
  boost::system::error_code ignored;
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
  co_await timer_.async_wait(asio::redirect_error(kAwait, ignored));
}

void HttpPoller::interrupt() {
  timer_.cancel();
  boost::system::error_code ignored;
  if (socket_) socket_->close(ignored);
}

void HttpPoller::start_limit(Time limit, const std::shared_ptr<Socket>& socket) {
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit));
  timer_.async_wait([socket](boost::system::error_code cancelled) {
    boost::system::error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
}

asio::awaitable<HttpPoller::Response, Executor> HttpPoller::get(config::Address server, std::string target,
                                                                Time limit) {
  socket_ = std::make_shared<Socket>(executor_);
  const auto socket = socket_;  // keeps the socket until this coroutine ends, even if get() is called again
  start_limit(limit, socket);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server.host), server.port);
  co_await socket->async_connect(endpoint, kAwait);
  std::string request;
  http::put_request(request, "GET", target, server.host, "", {{"x-heronwell-gateway", router_name_}});
  co_await asio::async_write(*socket, asio::buffer(request), kAwait);

  http::Limits limits;
  limits.body = kMaxResponseBytes;
  http::Parser parser(http::Role::response, limits);
  std::string buffer;
  Response response;
  std::array<char, kReadChunkBytes> chunk{};
  bool complete = false;
  while (!complete) {
    boost::system::error_code error;
    const auto size =
        co_await socket->async_read_some(asio::buffer(chunk), asio::redirect_error(kAwait, error));
    if (error && error != asio::error::eof) throw boost::system::system_error(error);
    const bool ended = error == asio::error::eof;
    buffer.append(chunk.data(), size);
    complete = parse_available(parser, buffer, response.body, ended);
    if (ended && !complete) throw std::runtime_error("HTTP response is incomplete: connection closed");
  }
  timer_.cancel();
  if (parser.status() != 200)
    throw std::runtime_error(fmt::format("HTTP status {}, expected 200", parser.status()));
  response.consul_index = read_consul_index(parser);
  co_return response;
}

}  // namespace heronwell::daemon
