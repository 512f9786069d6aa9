#include "emulator/emulated_router.hpp"

#include <fmt/format.h>

#include <cmath>
#include <utility>

#include "emulator/list.hpp"
#include "emulator/transport.hpp"

namespace heronwell::emulator {
namespace {

using namespace std::chrono_literals;
constexpr Time kMeasure = 500ms;  // as the daemon's
constexpr Time kAhead =
    7s;  // of one router's steady clock against the one before: they are no one's but theirs

}  // namespace

Time Clocks::now() const {
  const auto passed = loop_.now() - from_;
  if (rate_ == 1) return own_ + passed;
  return own_ + Time(static_cast<std::int64_t>(std::floor(static_cast<double>(passed.count()) * rate_)));
}

Time Clocks::moment(Time own) const {
  if (rate_ == 1 || own <= own_) return from_ + std::min(own - own_, Time::max() - from_);
  return from_ +
         Time(static_cast<std::int64_t>(std::ceil(static_cast<double>((own - own_).count()) / rate_)));
}

void Clocks::run(double rate) {
  own_ = now();
  from_ = loop_.now();
  rate_ = rate;
}

class EmulatedRouter::ShardWorld final : public path::ShardEnvironment {
 public:
  ShardWorld(EmulatedRouter& gateway, std::uint64_t seed) : gateway_(gateway), random_(seed) {
    if (gateway.around_.network.settings().messages)
      carrier_ = std::make_unique<Transport>(gateway.around_.network, gateway.process_, gateway.config_,
                                             gateway.around_.engine);
  }
  void serve(path::Shard& shard) {
    if (carrier_) carrier_->serve(shard);
  }
  bool send_as_message(const path::AttemptPtr& attempt) override {
    if (carrier_) carrier_->carry(attempt);
    return carrier_ != nullptr;
  }
  void cancel_message(const path::AttemptPtr& attempt) override {
    if (carrier_) carrier_->call_off(attempt);
  }
  Time now() override { return gateway_.clocks_.now(); }
  std::uint64_t random_bits() override { return random_(); }
  void fill_random(std::span<unsigned char> bytes) override {
    for (auto& byte : bytes) byte = static_cast<unsigned char>(random_());
  }
  path::StreamPtr dial(const config::Address& address) override {
    return gateway_.around_.network.dial(gateway_.process_, address.port, true);
  }
  path::TimerPtr create_timer(std::function<void()> then) override;
  void defer(std::function<void()> then) override {
    gateway_.process_.at(gateway_.process_.loop().now(), std::move(then));
  }
  void publish(path::TimedEvent what) override;
  void log(path::Level, std::string) override {}

 private:
  struct Moment;
  class EmulatedTimer;
  EmulatedRouter& gateway_;
  pcg64 random_;
  std::unique_ptr<Transport> carrier_;  // null: by connections
};

struct EmulatedRouter::ShardWorld::Moment {
  std::function<void()> then;
  Time when{};
  std::uint64_t set = 0;  // times
  bool due = false;
};

class EmulatedRouter::ShardWorld::EmulatedTimer final : public path::Timer {
 public:
  EmulatedTimer(EmulatedRouter& gateway, std::function<void()> then)
      : gateway_(gateway), moment_(std::make_shared<Moment>()) {
    moment_->then = std::move(then);
  }
  EmulatedTimer(const EmulatedTimer&) = delete;
  EmulatedTimer& operator=(const EmulatedTimer&) = delete;
  ~EmulatedTimer() override { moment_->due = false; }
  void set(Time when) override {
    moment_->due = true;
    moment_->when = when;
    wait(gateway_, moment_, ++moment_->set);
  }
  void cancel() override { moment_->due = false; }

 private:
  // A clock that was slowed meanwhile does not show the moment yet.
  static void wait(EmulatedRouter& gateway, const std::weak_ptr<Moment>& weak, std::uint64_t set) {
    const auto waited = weak.lock();
    gateway.process_.at(gateway.clocks_.moment(waited->when), [&gateway, weak, set] {
      const auto moment = weak.lock();
      if (!moment || !moment->due || moment->set != set) return;
      if (gateway.clocks_.now() < moment->when) return wait(gateway, weak, set);
      moment->due = false;
      moment->then();
    });
  }
  EmulatedRouter& gateway_;
  std::shared_ptr<Moment> moment_;
};

path::TimerPtr EmulatedRouter::ShardWorld::create_timer(std::function<void()> then) {
  return std::make_unique<EmulatedTimer>(gateway_, std::move(then));
}

class EmulatedRouter::Strands final : public path::DecisionEnvironment {
 public:
  explicit Strands(EmulatedRouter& gateway) : gateway_(gateway) {}
  Time now() override { return gateway_.clocks_.now(); }
  Time unix_offset() override {
    const auto& clocks = gateway_.clocks_;
    return gateway_.around_.unix_offset + clocks.stepped + gateway_.process_.loop().now() - clocks.now();
  }
  void deliver(std::size_t shard, std::vector<path::ShardCommand>& orders) override;
  void send_gossip(const router::ForwardGossip& tell) override;
  void log(path::Level, std::string) override {}

 private:
  EmulatedRouter& gateway_;
};

// From its start to its death.
struct EmulatedRouter::Life {
  explicit Life(EmulatedRouter& of)
      : gateway(of),
        metrics(router::class_names(of.config_.module)),
        front(of.config_.module),
        tracer(of.config_.trace, nullptr),
        strands(of),
        strand(policy_under_test(of.around_.policy, strands, of.config_, metrics, of.config_.seed.value_or(1),
                                 of.config_.threads)),
        orders(of.config_.threads) {
    if (of.schema_) graphql.emplace(of.config_, of.schema_, [&of] { return of.clocks_.now(); });
    for (unsigned i = 0; i < of.config_.threads; ++i) {
      worlds.push_back(std::make_unique<ShardWorld>(of, of.config_.seed.value_or(1) * 64 + i));
      shards.push_back(std::make_unique<path::Shard>(*worlds[i], of.config_, metrics, front, tracer, i,
                                                     of.config_.threads));
      worlds[i]->serve(*shards[i]);
      if (graphql) shards[i]->serve(*graphql);
    }
  }

  void tell(path::TimedEvent&& what) {
    told.push_back(std::move(what));
    if (std::exchange(reading, true)) return;
    gateway.process_.at(gateway.process_.loop().now(), [this] {
      reading = false;
      strand->receive(std::exchange(told, {}));
      arm();
    });
  }

  void arm() {
    const auto due = strand->next_due();
    if (due == armed || due == Time::max()) return;
    armed = due;
    gateway.process_.at(gateway.clocks_.moment(due), [this, due] {
      if (armed != due) return;
      armed = Time::max();
      strand->run();
      arm();
    });
  }

  void measure() {
    strand->update_metrics();
    gateway.process_.at(gateway.process_.loop().now() + kMeasure, [this] { measure(); });
  }

  EmulatedRouter& gateway;
  path::Metrics metrics;
  router::QueryParser front;
  trace::Tracer tracer;
  std::optional<path::Graphql> graphql;
  Strands strands;
  std::unique_ptr<PolicyUnderTest> strand;
  std::vector<path::TimedEvent> told;  // for the strand
  bool reading = false;
  Time armed = Time::max();
  std::vector<std::vector<path::ShardCommand>> orders;  // by shard
  std::vector<std::unique_ptr<ShardWorld>> worlds;
  std::vector<std::unique_ptr<path::Shard>> shards;
  std::size_t clients = 0;                                // so far, dealt out in turn
  std::map<std::uint64_t, std::shared_ptr<Asked>> asked;  // by messages, not answered
};

// A request that came as a message, until its answer goes out as one.
class EmulatedRouter::Asked final : public path::ResponseHandler, public std::enable_shared_from_this<Asked> {
 public:
  Asked(EmulatedRouter& gateway, std::uint64_t number, std::shared_ptr<EmulatedClient> caller)
      : gateway_(gateway), number_(number), caller_(std::move(caller)) {}
  void on_served(const path::ClientRequestPtr&, path::AttemptResponse content) override {
    reply(content.sqlstate.empty() ? 200 : 422, "served", Time::zero());
  }
  void on_failed(const path::ClientRequestPtr&, const router::Problem& problem) override {
    reply(problem.status, std::string(router::text_of(problem.outcome)), problem.retry_after / 1ms * 1ms);
  }
  void on_client_disconnected() override {}

  void begin(path::Shard& shard, const std::string& body, const std::string& timeout) {
    auto read = shard.query_parser().parse(
        body, timeout.empty() ? std::nullopt : std::optional<std::string_view>(timeout));
    if (const auto* wrong = std::get_if<router::Problem>(&read))
      return reply(wrong->status, std::string(router::text_of(wrong->outcome)), Time::zero());
    auto& query = std::get<router::ParsedQuery>(read);
    shard_ = &shard;
    exchange_ = std::make_shared<path::ClientRequest>();
    exchange_->received_at = shard.input_waiting_since();
    exchange_->response_handler = shared_from_this();
    exchange_->statement = std::make_shared<const sql::Statement>(sql::Statement{std::move(query.statement)});
    shard.submit(exchange_, std::move(query.spec));
  }
  void leave() {
    shard_->disconnect(exchange_);
    end();
  }
  void broken() {
    network().loop().after(network().way(), [caller = caller_] { caller->broken(); });
  }

 private:
  Network& network() { return gateway_.around_.network; }
  void reply(int status, const std::string& outcome, Time pause) {
    network().loop().after(network().way(), [caller = caller_, status, outcome, pause] {
      caller->answered(status, outcome, pause);
    });
    end();
  }
  void end() {
    if (exchange_) exchange_->response_handler = nullptr;
    const auto kept = shared_from_this();
    gateway_.life_->asked.erase(number_);
  }

  EmulatedRouter& gateway_;
  std::uint64_t number_;
  std::shared_ptr<EmulatedClient> caller_;
  path::Shard* shard_ = nullptr;
  path::ClientRequestPtr exchange_;
};

void EmulatedRouter::ShardWorld::publish(path::TimedEvent what) { gateway_.life_->tell(std::move(what)); }

void EmulatedRouter::Strands::deliver(std::size_t shard, std::vector<path::ShardCommand>& orders) {
  auto& life = *gateway_.life_;
  auto& waiting = life.orders[shard];
  const bool idle = waiting.empty();
  for (auto& order : orders) waiting.push_back(std::move(order));
  orders.clear();
  if (!idle) return;
  gateway_.process_.at(gateway_.process_.loop().now(), [&life, shard] {
    auto batch = std::exchange(life.orders[shard], {});
    life.shards[shard]->execute(batch);
  });
}

void EmulatedRouter::Strands::send_gossip(const router::ForwardGossip& tell) {
  const auto me = gateway_.number();
  for (const auto& other : gateway_.around_.all) {
    if (other->number() == me || (tell.to_router && *tell.to_router != other->number())) continue;
    gateway_.around_.network.datagram(other->process(), [to = other.get(), me, bytes = tell.bytes] {
      to->life_->tell({to->clocks_.now(), path::GossipReceived{me, bytes}});
    });
  }
}

EmulatedRouter::EmulatedRouter(Surroundings around, config::Config config,
                               std::shared_ptr<const graphql::Bound> schema, std::uint16_t port)
    : around_(around),
      config_(std::move(config)),
      schema_(std::move(schema)),
      port_(port),
      process_(around.network.loop()),
      clocks_(around.network.loop(), kAhead * config_.module.router_index) {}

EmulatedRouter::~EmulatedRouter() { kill(); }

void EmulatedRouter::begin() {
  kill();
  process_.begin();
  life_ = std::make_unique<Life>(*this);
  life_->strand->on_ready([this] {
    if (ready_) ready_();
  });
  around_.network.listen(port_, process_, [this](const EndPtr& end) {
    auto& life = *life_;
    life.shards[life.clients++ % life.shards.size()]->serve(end, "127.0.0.1");
  });
  life_->strand->run();
  life_->arm();
  life_->measure();
  around_.list.ask(*this, 0);
}

// At once and without a word: its kernel closes its connections.
void EmulatedRouter::kill() {
  if (!life_) return;
  process_.die();
  around_.network.close(port_);
  for (const auto& [number, asked] : life_->asked) asked->broken();
  life_->shards.clear();
  life_.reset();
}

void EmulatedRouter::ask(const std::shared_ptr<EmulatedClient>& caller, const std::string& body,
                         const std::string& timeout) {
  caller->number_ = ++asked_;
  around_.network.message(
      process_,
      [this, caller, body, timeout] {
        auto& life = *life_;
        const auto asked = std::make_shared<Asked>(*this, caller->number_, caller);
        life.asked.emplace(caller->number_, asked);
        asked->begin(*life.shards[life.clients++ % life.shards.size()], body, timeout);
      },
      [this, caller] {
        around_.network.loop().after(around_.network.way(), [caller] { caller->broken(); });
      });
}

void EmulatedRouter::leave(const std::shared_ptr<EmulatedClient>& caller) {
  around_.network.message(
      process_,
      [this, caller] {
        const auto found = life_->asked.find(caller->number_);
        if (found != life_->asked.end()) std::shared_ptr(found->second)->leave();
      },
      nullptr);
}

void EmulatedRouter::listed(path::EndpointsChanged listed) {
  life_->tell({clocks_.now(), std::move(listed)});
}

void EmulatedRouter::reload_groups(const std::string& text) {
  process_.run([this, text] {
    life_->strand->reload_groups(text);
    life_->arm();
  });
}

std::size_t EmulatedRouter::remembered() const { return life_ ? life_->strand->remembered_count() : 0; }

std::string EmulatedRouter::disagreement() const {
  if (!life_ || process_.stopped() || !life_->told.empty()) return "";
  for (const auto& orders : life_->orders)
    if (!orders.empty()) return "";
  const auto mine = open(), decided = life_->strand->open_count();
  if (mine == decided) return "";
  return fmt::format("{}: the strand has {} requests open, its shards {}", config_.name, decided, mine);
}

std::size_t EmulatedRouter::open() const {
  std::size_t sum = 0;
  if (life_)
    for (const auto& shard : life_->shards) sum += shard->open_count();
  return sum;
}

}  // namespace heronwell::emulator
