#include "emulator/engine.hpp"

#include <utility>

namespace heronwell::emulator {

class Engine::Link final : public rehearsal::EngineLink,
                           public path::StreamObserver,
                           public std::enable_shared_from_this<Link> {
 public:
  Link(Engine& engine, EndPtr end) : engine_(engine), end_(std::move(end)) {}
  void begin(rehearsal::EngineCore::SessionPtr session) {
    session_ = std::move(session);
    kept_ = shared_from_this();  // until it is closed
    end_->attach(weak_from_this());
    end_->set_reading(true);
  }

  void send(std::string bytes, std::function<void()> then) override {
    out_ += bytes;
    then_ = std::move(then);
    flush();
  }
  void send_notice(std::string_view bytes) override {
    if (out_.empty()) (void)end_->write({&bytes, 1});
  }
  void close(bool reset) override {
    end_->close(reset);
    then_ = nullptr;
    session_ = nullptr;
    engine_.process_.at(engine_.now(), [kept = std::exchange(kept_, nullptr)] {});  // not under its own feet
  }

  void on_data(std::string_view bytes) override {
    if (session_) engine_.core_->received(session_, bytes);
  }
  void on_writable() override { flush(); }
  void on_closed(bool) override {
    if (session_) engine_.core_->connection_closed(session_);
  }

 private:
  void flush() {
    while (!out_.empty()) {
      const std::string_view piece = out_;
      const auto wrote = end_->write({&piece, 1});
      if (!wrote) return;  // its end will be told
      out_.erase(0, *wrote);
      if (*wrote == 0) return end_->notify_when_writable();
    }
    if (!then_) return;
    engine_.process_.at(engine_.now(), [self = shared_from_this(), then = std::exchange(then_, nullptr)] {
      if (self->session_) then();
    });
  }

  Engine& engine_;
  EndPtr end_;
  rehearsal::EngineCore::SessionPtr session_;
  std::shared_ptr<Link> kept_;
  std::string out_;
  std::function<void()> then_;
};

Engine::Engine(Network& network, rehearsal::EngineOptions options, std::string folder)
    : network_(network), options_(std::move(options)), folder_(std::move(folder)), process_(network.loop()) {}

Engine::~Engine() {
  if (core_) core_->kill();
}

void Engine::begin(bool warm) {
  process_.begin();
  options_.warm = warm;
  if (folder_.empty())
    recorder_.emplace();
  else
    recorder_.emplace(folder_ + "/" + options_.name + ".jsonl", "engine", options_.name, now());
  core_ = std::make_unique<rehearsal::EngineCore>(*this, options_, *recorder_);
  core_->listening(options_.port);
  network_.listen(options_.port, process_, [this](const EndPtr& end) {
    auto link = std::make_shared<Link>(*this, end);
    link->begin(core_->open(link));
  });
  core_->start();
}

void Engine::set_timer(TimerKind which, Time at) {
  const auto set = ++wakes_[static_cast<std::size_t>(which)];
  if (at == Time::max()) return;
  process_.at(at, [this, which, set] {
    if (set == wakes_[static_cast<std::size_t>(which)]) core_->on_timer(which);
  });
}

// Nobody listens any more. A core that tipped over is still in the middle of it.
void Engine::stopped_listening() {
  network_.close(options_.port);
  tipped_ = tipped_ || core_->crashed();
}

void Engine::kill() {
  if (!core_) return;
  process_.die();
  core_->kill();
  core_.reset();
}

void Engine::end() {
  if (!core_) return;
  core_->kill();
  recorder_->write_end(now());
}

}  // namespace heronwell::emulator
