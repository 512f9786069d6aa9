#include "rehearsal/engine.hpp"

#include <array>

#include "rehearsal/asio.hpp"

namespace heronwell::rehearsal {

struct Engine::Parts final : EngineEnvironment, std::enable_shared_from_this<Engine::Parts> {
  struct Link final : EngineLink, std::enable_shared_from_this<Link> {
    Link(std::shared_ptr<Parts> engine, Socket from) : parts(std::move(engine)), socket(std::move(from)) {}
    void send(std::string bytes, std::function<void()> then) override {
      sending = std::make_shared<std::string>(std::move(bytes));
      asio::async_write(socket, asio::buffer(*sending),
                        [self = shared_from_this(), keep_alive = sending, then = std::move(then)](
                            boost::system::error_code error, std::size_t) {
                          if (error && self->session)
                            return self->parts->core.connection_closed(self->session);
                          if (error) return;
                          then();
                        });
    }
    void send_notice(std::string_view bytes) override {
      boost::system::error_code ignored;
      socket.write_some(asio::buffer(bytes), ignored);
    }
    void close(bool reset) override {
      boost::system::error_code ignored;
      if (reset) socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
    std::shared_ptr<Parts> parts;
    Socket socket;
    EngineCore::SessionPtr session;
    std::shared_ptr<std::string> sending;
  };

  Parts(asio::io_context& io, EngineOptions options, Recorder& recorder)
      : context(io),
        acceptor(io.get_executor()),
        timers{Timer(io.get_executor()), Timer(io.get_executor())},
        core(*this, prepared(std::move(options)), recorder) {
    core.listening(acceptor.local_endpoint().port());
  }
  EngineOptions prepared(EngineOptions options) {  // binds the port before anything is recorded
    listen(acceptor, options.port);
    return options;
  }

  Time now() override { return steady_clock_now(); }
  void set_timer(TimerKind which, Time at) override {
    auto& timer = timers[static_cast<std::size_t>(which)];
    timer.cancel();
    if (at == Time::max()) return;
    timer.expires_at(Timer::time_point(at));
    timer.async_wait([weak = weak_from_this(), which](boost::system::error_code error) {
      const auto self = weak.lock();
      if (!error && self) self->core.on_timer(which);
    });
  }
  void after(Time pause, std::function<void()> then) override {
    auto timer = std::make_shared<Timer>(context.get_executor());
    timer->expires_after(pause);
    timer->async_wait([timer, keep_alive = shared_from_this(),
                       then = std::move(then)](boost::system::error_code) { then(); });
  }
  void stopped_listening() override {
    boost::system::error_code ignored;
    acceptor.close(ignored);
  }

  void accept() {
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, Socket socket) {
      if (!self->acceptor.is_open()) return;
      if (!error) {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto link = std::make_shared<Link>(self, std::move(socket));
        link->session = self->core.open(link);
        asio::co_spawn(
            self->context.get_executor(), [self, link] { return self->serve(link); }, asio::detached);
      }
      self->accept();
    });
  }

  asio::awaitable<void, Executor> serve(std::shared_ptr<Link> link) {
    std::array<char, 8192> chunk{};
    boost::system::error_code error;
    while (!error && link->socket.is_open()) {
      const auto bytes_read =
          co_await link->socket.async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      if (!error) core.received(link->session, {chunk.data(), bytes_read});
    }
    core.connection_closed(link->session);
    link->session = nullptr;  // breaks the cycle: the session holds the link, too
  }

  asio::io_context& context;
  Acceptor acceptor;
  std::array<Timer, 2> timers;
  EngineCore core;
};

Engine::Engine(boost::asio::io_context& context, EngineOptions options, Recorder& recorder)
    : parts_(std::make_shared<Parts>(context, std::move(options), recorder)) {
  parts_->accept();
  parts_->core.start();
}
Engine::~Engine() { parts_->core.kill(); }
std::uint16_t Engine::port() const { return parts_->acceptor.local_endpoint().port(); }
void Engine::faults(const EngineFaults& faults) { parts_->core.faults(faults); }
void Engine::kill() { parts_->core.kill(); }
bool Engine::crashed() const { return parts_->core.crashed(); }
std::uint64_t Engine::began() const { return parts_->core.began(); }
std::string Engine::command(const std::string& line) { return parts_->core.command(line); }

}  // namespace heronwell::rehearsal
