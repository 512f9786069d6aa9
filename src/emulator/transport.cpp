#include "emulator/transport.hpp"

#include <utility>

#include "emulator/engine.hpp"

namespace heronwell::emulator {

// One attempt, from its command to its end. The gateway's side of it goes with the gateway's life.
class Transport::Call final : public rehearsal::EngineLink, public std::enable_shared_from_this<Call> {
 public:
  Call(Transport& carrier, std::uint64_t number, path::AttemptPtr attempt, Engine& engine)
      : carrier_(carrier),
        network_(carrier.network_),
        gateway_(carrier.gateway_),
        life_(gateway_.life()),
        engine_(engine),
        number_(number),
        attempt_(std::move(attempt)) {}

  [[nodiscard]] const path::AttemptPtr& attempt() const { return attempt_; }

  void go(const std::string& name) {
    double grant_mb = 0;
    unsigned priority = 1;
    for (const auto& [setting, value] : attempt_->settings) {
      if (setting == carrier_.config_.engines.memory_setting) grant_mb = std::stod(value);
      if (setting == carrier_.config_.engines.priority_setting)
        priority = static_cast<unsigned>(std::stoul(value));
    }
    network_.message(
        engine_.process(),
        [self = shared_from_this(), name, grant_mb, priority] {
          if (self->left_) return;
          if (self->engine_.core()->crashed()) return self->refused();
          self->engine_life_ = self->engine_.process().life();
          auto session = self->engine_.core()->execute_message(self, name, self->attempt_->statement->text,
                                                               grant_mb, priority);
          if (!self->answered_) self->session_ = std::move(session);
        },
        [self = shared_from_this()] { self->refused(); });
  }

  void call_off() {
    cancelling_ = true;
    at_engine([self = shared_from_this()] { self->engine_.core()->cancel(self->session_); });
    gateway_.at(network_.loop().now() + carrier_.config_.engines.cancel_wait,
                [self = shared_from_this()] { self->finish(sql::StatementResult::cancelled); });
  }

  // The gateway is through with it: its connection ends.
  void leave() {
    left_ = true;
    at_engine([self = shared_from_this()] { self->engine_.core()->connection_closed(self->session_); });
  }

  // ---- at the engine --------------------------------------------------------------------------------------
  void send(std::string, std::function<void()>) override {}
  void send_notice(std::string_view) override {}
  [[nodiscard]] bool uses_messages() const override { return true; }
  void notice(std::string_view code, std::string text) override {
    at_gateway([self = shared_from_this(), code = std::string(code), text = std::move(text)] {
      self->carrier_.shard_->report_progress(self->attempt_, {"NOTICE", code, text});
    });
  }
  void ended(std::string load, std::string_view code, std::string cost) override {
    answered_ = true;
    at_gateway([self = shared_from_this(), load = std::move(load), code = std::string(code),
                cost = std::move(cost)] {
      auto& shard = *self->carrier_.shard_;
      const auto& attempt = self->attempt_;
      if (!load.empty()) shard.handle_engine_parameter(attempt, shard.config().engines.load_parameter, load);
      if (!cost.empty()) shard.report_progress(attempt, {"NOTICE", "01H04", cost});
      attempt->response.sqlstate = code;
      self->finish(!code.empty()       ? sql::StatementResult::statement_error
                   : self->cancelling_ ? sql::StatementResult::cancelled
                                       : sql::StatementResult::complete,
                   code);
    });
  }
  void close(bool) override {
    session_ = nullptr;
    if (std::exchange(answered_, true)) return;
    at_gateway([self = shared_from_this()] {
      self->finish(self->cancelling_ ? sql::StatementResult::cancelled : sql::StatementResult::broken);
    });
  }

 private:
  void refused() {
    at_gateway([self = shared_from_this()] {
      self->finish(self->cancelling_ ? sql::StatementResult::not_written
                                     : sql::StatementResult::not_connected);
    });
  }
  void at_gateway(std::function<void()> what) {
    if (gateway_.life() != life_) return;
    gateway_.at(network_.loop().now() + network_.way(), [self = shared_from_this(), what = std::move(what)] {
      if (!self->ended_) what();
    });
  }
  void at_engine(std::function<void()> what) {
    network_.loop().after(network_.way(), [self = shared_from_this(), what = std::move(what)] {
      self->engine_.process().run([self, what] {
        if (self->session_ && self->engine_.process().life() == self->engine_life_) what();
      });
    });
  }
  void finish(sql::StatementResult seen, const std::string& code = {}) {
    if (std::exchange(ended_, true)) return;
    const auto self = shared_from_this();
    auto& carrier = carrier_;
    --carrier.out_[attempt_->engine];
    carrier.calls_.erase(number_);
    if (!answered_) leave();
    carrier.shard_->end_attempt(attempt_, seen, code, cancelling_);
  }

  Transport& carrier_;  // while the gateway's life lasts
  Network& network_;
  Process& gateway_;
  std::uint64_t life_;
  Engine& engine_;
  std::uint64_t engine_life_ = 0;
  std::uint64_t number_;
  path::AttemptPtr attempt_;
  rehearsal::EngineCore::SessionPtr session_;
  bool answered_ = false, cancelling_ = false, ended_ = false, left_ = false;
};

Transport::Transport(Network& network, Process& gateway, const config::Config& config, Find find)
    : network_(network), gateway_(gateway), config_(config), find_(std::move(find)) {}

Transport::~Transport() {
  for (const auto& [number, call] : calls_) call->leave();
}

void Transport::carry(const path::AttemptPtr& attempt) {
  auto& out = out_[attempt->engine];
  if (out >= shard_->pool_cap()) return shard_->end_attempt(attempt, sql::StatementResult::pool_full);
  auto* engine = find_(shard_->pool(attempt->engine)->address.port);
  ++out;
  const auto number = ++numbers_;
  const auto call = std::make_shared<Call>(*this, number, attempt, *engine);
  calls_.emplace(number, call);
  path::apply(attempt->state, path::AttemptEvent::send_statement);
  attempt->first_byte_sent_at = shard_->now();
  call->go(config_.name);
}

void Transport::call_off(const path::AttemptPtr& attempt) {
  for (const auto& [number, call] : calls_)
    if (call->attempt() == attempt) return call->call_off();
}

}  // namespace heronwell::emulator
