#include "rehearsal/relay.hpp"

#include <pcg_random.hpp>
#include <random>

#include "rehearsal/asio.hpp"
#include "sql/protocol.hpp"

namespace heronwell::rehearsal {
namespace {

constexpr std::size_t kMaxMessageBytes = 16 << 20;

}  // namespace

struct Relay::Parts : std::enable_shared_from_this<Parts> {
  Parts(asio::io_context& io, std::uint16_t port, std::uint16_t to, RelayFaults relay_faults,
        std::uint64_t seed)
      : context(io), acceptor(io.get_executor()), engine(to), faults(relay_faults), random(seed) {
    listen(acceptor, port);
  }

  bool chance(double part) { return part > 0 && std::generate_canonical<double, 32>(random) < part; }

  void accept() {
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, Socket from) {
      if (!self->acceptor.is_open()) return;
      if (!error) {
        auto router = std::make_shared<Socket>(std::move(from));
        auto to = std::make_shared<Socket>(self->context.get_executor());
        asio::co_spawn(
            self->context.get_executor(), [self, router, to] { return self->forward_statements(router, to); },
            asio::detached);
      }
      self->accept();
    });
  }

  static void close(Socket& a, Socket& b) {
    boost::system::error_code ignored;
    a.close(ignored);
    b.close(ignored);
  }

  asio::awaitable<void, Executor> forward_statements(std::shared_ptr<Socket> router,
                                                     std::shared_ptr<Socket> to) {
    boost::system::error_code error;
    co_await to->async_connect(loopback(engine), asio::redirect_error(kToken, error));
    if (error) co_return close(*router, *to);
    asio::co_spawn(
        context.get_executor(),
        [self = shared_from_this(), router, to] { return self->forward_answers(router, to); },
        asio::detached);
    std::string buffer;
    std::array<char, 8192> chunk{};
    bool started = false;
    while (true) {
      const auto bytes_read =
          co_await router->async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      if (error) co_return close(*router, *to);
      buffer.append(chunk.data(), bytes_read);
      std::string forwarded, forged_answer;
      while (true) {
        const auto frame = started ? sql::next_message(buffer, kMaxMessageBytes) : sql::next_startup(buffer);
        if (frame.state == sql::Frame::State::malformed) co_return close(*router, *to);
        if (frame.state != sql::Frame::State::complete) break;
        const bool query = started && frame.message.type == 'Q' &&
                           frame.message.payload.find("/*hw ") != std::string_view::npos;
        started = true;
        if (query && chance(faults.claim)) {
          sql::put_columns(forged_answer, {{"value", 25}});
          sql::put_complete(forged_answer, "SELECT 0");
          sql::put_ready(forged_answer);
        } else {
          for (int times = query && chance(faults.repeat) ? 2 : 1; times > 0; --times)
            forwarded += buffer.substr(0, frame.size);
        }
        buffer.erase(0, frame.size);
      }
      if (!forwarded.empty())
        co_await asio::async_write(*to, asio::buffer(forwarded), asio::redirect_error(kToken, error));
      if (!error && !forged_answer.empty())
        co_await asio::async_write(*router, asio::buffer(forged_answer), asio::redirect_error(kToken, error));
      if (error) co_return close(*router, *to);
    }
  }

  static asio::awaitable<void, Executor> forward_answers(std::shared_ptr<Socket> router,
                                                         std::shared_ptr<Socket> to) {
    boost::system::error_code error;
    std::array<char, 16384> chunk{};
    while (!error) {
      const auto bytes_read =
          co_await to->async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      if (!error)
        co_await asio::async_write(*router, asio::buffer(chunk, bytes_read),
                                   asio::redirect_error(kToken, error));
    }
    close(*router, *to);
  }

  asio::io_context& context;
  Acceptor acceptor;
  std::uint16_t engine;
  RelayFaults faults;
  pcg64 random;
};

Relay::Relay(asio::io_context& context, std::uint16_t port, std::uint16_t engine, RelayFaults faults,
             std::uint64_t seed)
    : parts_(std::make_shared<Parts>(context, port, engine, faults, seed)) {
  parts_->accept();
}
Relay::~Relay() {
  boost::system::error_code ignored;
  parts_->acceptor.close(ignored);
}
std::uint16_t Relay::port() const { return parts_->acceptor.local_endpoint().port(); }

}  // namespace heronwell::rehearsal
