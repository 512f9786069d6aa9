#include "emulator/clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace heronwell::emulator {
namespace {

constexpr std::size_t kKeptBody = 1 << 20;

}  // namespace

// Serves one request at a time.
class Clients::Connection final : public path::StreamObserver,
                                  public std::enable_shared_from_this<Connection> {
 public:
  Connection(Clients& clients, unsigned gateway) : clients_(clients), gateway_(gateway) {}

  void ask(const rehearsal::Ask& ask, unsigned retry) {
    ask_ = &ask;
    retry_ = retry;
    kept_ = shared_from_this();
    talk_ = rehearsal::client_request_of(clients_.day_, ask, retry);
    if (end_) return send();
    end_ = clients_.network_.dial(clients_.process_, clients_.ports_[gateway_]);
    end_->attach(weak_from_this());
  }

  void on_connected() override {
    up_ = true;
    end_->set_reading(true);
    send();
  }

  void on_data(std::string_view bytes) override {
    in_ += bytes;
    if (ask_ == nullptr) {  // nothing is owed
      clients_.write("extra", last_);
      clients_.drop(*this);
      return close();
    }
    while (ask_ != nullptr) {
      const auto step = parser_.next(in_);
      bytes_ += step.body.size();
      if (body_.size() < kKeptBody) body_.append(step.body);
      in_.erase(0, step.consumed);
      using Event = http::Parser::Event;
      if (step.event == Event::need_more) return;
      head_ = head_ || step.event == Event::head;
      if (step.event == Event::error) return broken();
      if (step.event == Event::end && parser_.status() >= 200) whole();
    }
  }

  void on_writable() override {}  // never asked for

  void on_closed(bool) override {
    if (ask_ == nullptr) {
      clients_.drop(*this);
    } else if (!up_) {
      for (const auto& id : talk_.ids) clients_.unconnected(*ask_, id);
      finished();
    } else {
      return broken();
    }
    close();
  }

 private:
  Time now() const { return clients_.network_.loop().now(); }

  void send() {
    ++clients_.report_.sent;
    each("sent", talk_.record);
    sent_ = now();
    body_.clear();
    bytes_ = 0;
    head_ = repeating_ = false;
    limit(talk_.time_limit);
    put();
  }

  void put() {
    const std::string_view bytes = talk_.bytes;  // smaller than any window
    (void)end_->write({&bytes, 1});
  }

  void limit(Time longest) {
    clients_.process_.at(now() + longest, [weak = weak_from_this(), number = ++limits_] {
      const auto self = weak.lock();
      if (self && self->ask_ != nullptr && self->limits_ == number) self->too_long();
    });
  }

  void too_long() {
    if (repeating_) return broken();
    ++(talk_.hangs_up ? clients_.report_.hung_up : clients_.report_.broken);
    each(talk_.hangs_up ? "hung_up" : "gave_up");
    finished();
    close();
  }

  void broken() {
    if (repeating_) {
      reanswered(false);
    } else {
      ++clients_.report_.broken;
      each("broken", fmt::format(R"("head":{},"bytes":{})", head_, bytes_));
    }
    finished();
    close();
  }

  void whole() {
    if (repeating_) {
      reanswered(true);
      return rest();
    }
    const auto heard = rehearsal::parse_answer(clients_.day_, *ask_, talk_.ids.size(), parser_.status(),
                                               std::exchange(body_, {}));
    clients_.answered(*ask_, retry_, talk_, heard, now() - sent_, bytes_);
    if (!in_.empty()) each("extra");
    const auto& cls = clients_.day_.settings.classes[ask_->cls];
    const bool clean = in_.empty() && parser_.keep_alive();
    // The client's own repeat under its key, to the same process: nothing of it may run a second time.
    if (clean && heard.outcome_unknown && cls.idempotency == Idempotency::not_idempotent) {
      clients_.write("resent", talk_.ids.front());
      repeating_ = true;
      limit(rehearsal::kGiveUpDelay);
      return put();
    }
    if (clean) return rest();
    finished();
    close();
  }

  void reanswered(bool whole) {
    clients_.write("reanswered", talk_.ids.front(),
                   fmt::format(R"("whole":{},"status":{})", whole, whole ? parser_.status() : 0));
    ++clients_.report_.resent;
  }

  void rest() {
    clients_.idle_[gateway_].push_back(shared_from_this());
    finished();
  }
  void finished() {
    last_ = talk_.ids.front();
    ask_ = nullptr;
    ++limits_;
    --clients_.open_;
    clients_.process_.at(now(), [kept = std::exchange(kept_, nullptr)] {});
  }
  void close() { end_->close(false); }
  void each(std::string_view event, const std::string& more = "") {
    for (const auto& id : talk_.ids) clients_.write(event, id, more);
  }

  Clients& clients_;
  unsigned gateway_;
  EndPtr end_;
  std::shared_ptr<Connection> kept_;  // while a request is out
  bool up_ = false;
  const rehearsal::Ask* ask_ = nullptr;  // null: idle
  unsigned retry_ = 0;
  rehearsal::ClientRequest talk_;
  Time sent_{};
  std::uint64_t limits_ = 0, bytes_ = 0;
  bool head_ = false, repeating_ = false;
  std::string in_, body_, last_;
  http::Parser parser_{http::Role::response, {8 << 10, 32 << 10, 100, 1ULL << 40}};
};

// A request and its answer as messages.
class Clients::Call final : public EmulatedClient, public std::enable_shared_from_this<Call> {
 public:
  Call(Clients& clients, const rehearsal::Ask& ask, unsigned retry)
      : clients_(clients),
        ask_(ask),
        retry_(retry),
        talk_(rehearsal::client_request_of(clients.day_, ask, retry)) {}

  void begin() {
    auto& gateway = *clients_.gateways_[ask_.gateway];
    const auto& id = talk_.ids.front();
    if (!gateway.process().alive()) {
      clients_.unconnected(ask_, id);
      return end();
    }
    ++clients_.report_.sent;
    clients_.write("sent", id, talk_.record);
    sent_ = now();
    gateway.ask(shared_from_this(), talk_.body, talk_.timeout);
    clients_.process_.at(now() + talk_.time_limit, [self = shared_from_this()] { self->too_long(); });
  }
  void answered(int status, const std::string& outcome, Time pause) override {
    if (over_) return;
    clients_.answered(ask_, retry_, talk_,
                      rehearsal::parsed_answer_of(clients_.day_, ask_, status, outcome, pause), now() - sent_,
                      0);
    end();
  }
  void broken() override {
    if (over_) return;
    ++clients_.report_.broken;
    clients_.write("broken", talk_.ids.front(), R"("head":false,"bytes":0)");
    end();
  }

 private:
  Time now() const { return clients_.network_.loop().now(); }
  void too_long() {
    if (over_) return;
    ++(talk_.hangs_up ? clients_.report_.hung_up : clients_.report_.broken);
    clients_.write(talk_.hangs_up ? "hung_up" : "gave_up", talk_.ids.front());
    clients_.gateways_[ask_.gateway]->leave(shared_from_this());
    end();
  }
  void end() {
    over_ = true;
    --clients_.open_;
  }

  Clients& clients_;
  const rehearsal::Ask& ask_;
  unsigned retry_;
  rehearsal::ClientRequest talk_;
  Time sent_{};
  bool over_ = false;
};

Clients::Clients(Network& network, const rehearsal::Day& day, std::vector<std::uint16_t> ports,
                 std::vector<std::unique_ptr<EmulatedRouter>>& gateways, Time start,
                 rehearsal::Recorder& recorder)
    : network_(network),
      day_(day),
      ports_(std::move(ports)),
      gateways_(gateways),
      start_(start),
      recorder_(recorder),
      process_(network.loop()),
      asks_(rehearsal::draw(day)),
      fates_(asks_.size()),
      idle_(ports_.size()) {}

Clients::~Clients() = default;

void Clients::begin() {
  process_.begin();
  next();
}

void Clients::next() {
  while (at_ < asks_.size() && start_ + asks_[at_].at <= network_.loop().now()) send(asks_[at_++], 0);
  if (at_ < asks_.size()) process_.at(start_ + asks_[at_].at, [this] { next(); });
}

void Clients::send(const rehearsal::Ask& ask, unsigned retry) {
  ++open_;
  if (network_.settings().messages) return std::make_shared<Call>(*this, ask, retry)->begin();
  auto& idle = idle_[ask.gateway];
  Ptr connection;
  if (idle.empty()) {
    connection = std::make_shared<Connection>(*this, ask.gateway);
  } else {
    connection = std::move(idle.back());
    idle.pop_back();
  }
  connection->ask(ask, retry);
}

void Clients::unconnected(const rehearsal::Ask& ask, const std::string& id) {
  ++report_.unconnected;
  write("unconnected", id,
        fmt::format(R"("gw":"gw-{}","cls":"{}")", ask.gateway, day_.settings.classes[ask.cls].name));
}

void Clients::answered(const rehearsal::Ask& ask, unsigned retry, const rehearsal::ClientRequest& talk,
                       const rehearsal::ParsedAnswer& heard, Time took, std::uint64_t bytes) {
  rehearsal::count(heard, report_);
  auto& fate = fates_[ask.number];
  for (const auto& one : heard.statements) {
    if (one.status == 200 && !fate.took) fate.took = network_.loop().now() - start_ - ask.at;
    fate.refused = fate.refused || one.outcome == "refused";
    fate.failed = fate.failed || one.outcome == "failed";
  }
  for (std::size_t i = 0; i < talk.ids.size(); ++i)
    write("answer", talk.ids[i], rehearsal::answer_record(heard.statements[i], took, bytes));
  if (!heard.may_retry || retry >= day_.retries) return;
  ++open_;
  process_.at(network_.loop().now() + heard.pause, [this, &ask, retry] {
    --open_;
    send(ask, retry + 1);
  });
}

void Clients::drop(const Connection& connection) {
  for (auto& idle : idle_)
    std::erase_if(idle, [&connection](const Ptr& one) { return one.get() == &connection; });
}

void Clients::write(std::string_view event, const std::string& id, const std::string& more) {
  recorder_.write(network_.loop().now(), event,
                  fmt::format(R"("id":"{}"{}{})", id, more.empty() ? "" : ",", more));
}

}  // namespace heronwell::emulator
