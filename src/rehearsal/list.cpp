#include "rehearsal/list.hpp"

#include <fmt/format.h>

#include <charconv>
#include <set>

#include "base/yaml.hpp"
#include "http/message.hpp"
#include "rehearsal/asio.hpp"
#include "rehearsal/list_record.hpp"

namespace heronwell::rehearsal {
namespace {

constexpr std::string_view kPath = "/v1/health/service/";

std::string parameter(std::string_view target, std::string_view name) {
  auto query = target.substr(std::min(target.find('?'), target.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto pair = query.substr(0, query.find('&'));
    query.remove_prefix(pair.size());
    if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
      return std::string(pair.substr(name.size() + 1));
  }
  return "";
}

}  // namespace

struct ListServer::Parts : std::enable_shared_from_this<Parts> {
  Parts(asio::io_context& io, std::uint16_t port, Recorder& to)
      : context(io), recorder(to), acceptor(io.get_executor()) {
    listen(acceptor, port);
  }

  void accept() {
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, Socket from) {
      if (!self->acceptor.is_open()) return;
      if (!error) {
        auto socket = std::make_shared<Socket>(std::move(from));
        self->sockets.insert(socket);
        asio::co_spawn(
            self->context.get_executor(), [self, socket] { return self->serve(socket); }, asio::detached);
      }
      self->accept();
    });
  }

  asio::awaitable<void, Executor> serve(std::shared_ptr<Socket> socket) {
    http::Parser parser(http::Role::request);
    std::string buffer;
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    while (!unavailable && !error) {
      const auto step = parser.next(buffer);
      buffer.erase(0, step.consumed);
      if (step.event == http::Parser::Event::error) break;
      if (step.event == http::Parser::Event::end) {
        error = co_await answer(socket, parser);
      } else if (step.event == http::Parser::Event::need_more) {
        const auto bytes_read =
            co_await socket->async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
        buffer.append(chunk.data(), bytes_read);
      }
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    sockets.erase(socket);
  }

  asio::awaitable<boost::system::error_code, Executor> answer(std::shared_ptr<Socket> socket,
                                                              const http::Parser& parser) {
    const std::string target(parser.target());
    const std::string gateway(parser.find("x-heronwell-gateway").value_or("-"));
    boost::system::error_code error;
    std::string out;
    if (!target.starts_with(kPath)) {
      http::put_response(out, 404, "text/plain", 0, true);
      co_await asio::async_write(*socket, asio::buffer(out), asio::redirect_error(kToken, error));
      co_return error;
    }
    std::uint64_t known = 0;
    const auto index_text = parameter(target, "index");
    std::from_chars(index_text.data(), index_text.data() + index_text.size(), known);
    const auto wait = yaml::parse_duration(parameter(target, "wait")).value_or(std::chrono::minutes(5));
    const auto until = std::chrono::steady_clock::now() + wait;
    while (known >= index && !unavailable && std::chrono::steady_clock::now() < until && acceptor.is_open()) {
      Timer timer(context.get_executor(),
                  std::min(until, std::chrono::steady_clock::now() + std::chrono::milliseconds(5)));
      co_await timer.async_wait(asio::redirect_error(kToken, error));
    }
    if (unavailable || !acceptor.is_open()) co_return asio::error::connection_aborted;
    const auto body = fleet::write_consul(entries, "sql");
    http::put_response(out, 200, "application/json", body.size(), true,
                       {{"x-consul-index", std::to_string(index)}});
    out += body;
    auto reported = endpoint_list_record(gateway, index, entries);
    co_await asio::async_write(*socket, asio::buffer(out), asio::redirect_error(kToken, error));
    if (!error) recorder.write(steady_clock_now(), "told", reported);
    co_return error;
  }

  void close() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto& socket : sockets) socket->close(ignored);
  }

  asio::io_context& context;
  Recorder& recorder;
  Acceptor acceptor;
  std::set<std::shared_ptr<Socket>> sockets;
  std::vector<fleet::EndpointEntry> entries;
  std::uint64_t index = 1;
  bool unavailable = false;
  Time delay{};
};

ListServer::ListServer(boost::asio::io_context& context, std::uint16_t port, Recorder& recorder)
    : parts_(std::make_shared<Parts>(context, port, recorder)) {
  parts_->accept();
}
ListServer::~ListServer() { parts_->close(); }
std::uint16_t ListServer::port() const { return parts_->acceptor.local_endpoint().port(); }

void ListServer::set(std::vector<fleet::EndpointEntry> entries) {
  auto timer = std::make_shared<Timer>(parts_->context.get_executor());
  timer->expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(parts_->delay));
  timer->async_wait([parts = parts_, timer, entries = std::move(entries)](boost::system::error_code) {
    parts->entries = entries;
    ++parts->index;
  });
}
void ListServer::set_delay(Time by) { parts_->delay = by; }
void ListServer::set_unavailable(bool unavailable) {
  parts_->unavailable = unavailable;
  boost::system::error_code ignored;
  if (unavailable)
    for (const auto& socket : parts_->sockets) socket->close(ignored);
}

}  // namespace heronwell::rehearsal
