#include "emulator/gateway.hpp"

#include <fmt/format.h>

#include <cmath>
#include <utility>

#include "emulator/carrier.hpp"
#include "emulator/list.hpp"

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

class Gateway::ShardWorld final : public path::World {
 public:
  ShardWorld(Gateway& gateway, std::uint64_t seed) : gateway_(gateway), random_(seed) {
    if (gateway.around_.network.settings().messages)
      carrier_ = std::make_unique<Carrier>(gateway.around_.network, gateway.process_, gateway.config_,
                                           gateway.around_.engine);
  }
  void serve(path::Shard& shard) {
    if (carrier_) carrier_->serve(shard);
  }
  bool carry(const path::AttemptPtr& attempt) override {
    if (carrier_) carrier_->carry(attempt);
    return carrier_ != nullptr;
  }
  void call_off(const path::AttemptPtr& attempt) override {
    if (carrier_) carrier_->call_off(attempt);
  }
  Time now() override { return gateway_.clocks_.now(); }
  std::uint64_t drawn() override { return random_(); }
  void draw(std::span<unsigned char> bytes) override {
    for (auto& byte : bytes) byte = static_cast<unsigned char>(random_());
  }
  path::WirePtr dial(const config::Address& address) override {
    return gateway_.around_.network.dial(gateway_.process_, address.port, true);
  }
  path::TimerPtr timer(std::function<void()> then) override;
  void defer(std::function<void()> then) override {
    gateway_.process_.at(gateway_.process_.loop().now(), std::move(then));
  }
  void tell(path::Told what) override;
  void log(path::Level, std::string) override {}

 private:
  struct Moment;
  class EmulatedTimer;
  Gateway& gateway_;
  pcg64 random_;
  std::unique_ptr<Carrier> carrier_;  // null: by connections
};

struct Gateway::ShardWorld::Moment {
  std::function<void()> then;
  Time when{};
  std::uint64_t set = 0;  // times
  bool due = false;
};

class Gateway::ShardWorld::EmulatedTimer final : public path::Timer {
 public:
  EmulatedTimer(Gateway& gateway, std::function<void()> then)
      : gateway_(gateway), moment_(std::make_shared<Moment>()) {
    moment_->then = std::move(then);
  }
  ~EmulatedTimer() override { moment_->due = false; }
  void set(Time when) override {
    moment_->due = true;
    moment_->when = when;
    wait(gateway_, moment_, ++moment_->set);
  }
  void cancel() override { moment_->due = false; }

 private:
  // A clock that was slowed meanwhile does not show the moment yet.
  static void wait(Gateway& gateway, const std::weak_ptr<Moment>& weak, std::uint64_t set) {
    const auto waited = weak.lock();
    gateway.process_.at(gateway.clocks_.moment(waited->when), [&gateway, weak, set] {
      const auto moment = weak.lock();
      if (!moment || !moment->due || moment->set != set) return;
      if (gateway.clocks_.now() < moment->when) return wait(gateway, weak, set);
      moment->due = false;
      moment->then();
    });
  }
  Gateway& gateway_;
  std::shared_ptr<Moment> moment_;
};

path::TimerPtr Gateway::ShardWorld::timer(std::function<void()> then) {
  return std::make_unique<EmulatedTimer>(gateway_, std::move(then));
}

class Gateway::Strands final : public path::StrandWorld {
 public:
  explicit Strands(Gateway& gateway) : gateway_(gateway) {}
  Time now() override { return gateway_.clocks_.now(); }
  Time unix_offset() override {
    const auto& clocks = gateway_.clocks_;
    return gateway_.around_.unix_offset + clocks.stepped + gateway_.process_.loop().now() - clocks.now();
  }
  void order(std::size_t shard, std::vector<path::Order>& orders) override;
  void tell_peers(const router::TellPeers& tell) override;
  void log(path::Level, std::string) override {}

 private:
  Gateway& gateway_;
};

// From its start to its death.
struct Gateway::Life {
  explicit Life(Gateway& of)
      : gateway(of),
        metrics(router::class_names(of.config_.module)),
        front(of.config_.module),
        tracer(of.config_.trace, nullptr),
        strands(of),
        strand(decider_of(of.around_.policy, strands, of.config_, metrics, of.config_.seed.value_or(1),
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

  void tell(path::Told&& what) {
    told.push_back(std::move(what));
    if (std::exchange(reading, true)) return;
    gateway.process_.at(gateway.process_.loop().now(), [this] {
      reading = false;
      strand->read(std::exchange(told, {}));
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
    strand->measure();
    gateway.process_.at(gateway.process_.loop().now() + kMeasure, [this] { measure(); });
  }

  Gateway& gateway;
  path::Metrics metrics;
  router::Front front;
  trace::Tracer tracer;
  std::optional<path::Graphql> graphql;
  Strands strands;
  std::unique_ptr<Decider> strand;
  std::vector<path::Told> told;  // for the strand
  bool reading = false;
  Time armed = Time::max();
  std::vector<std::vector<path::Order>> orders;  // by shard
  std::vector<std::unique_ptr<ShardWorld>> worlds;
  std::vector<std::unique_ptr<path::Shard>> shards;
  std::size_t clients = 0;                                // so far, dealt out in turn
  std::map<std::uint64_t, std::shared_ptr<Asked>> asked;  // by messages, not answered
};

// A request that came as a message, until its answer goes out as one.
class Gateway::Asked final : public path::Asker, public std::enable_shared_from_this<Asked> {
 public:
  Asked(Gateway& gateway, std::uint64_t number, std::shared_ptr<Caller> caller)
      : gateway_(gateway), number_(number), caller_(std::move(caller)) {}
  void served(const path::ExchangePtr&, path::Content content) override {
    reply(content.sqlstate.empty() ? 200 : 422, "served", Time::zero());
  }
  void unserved(const path::ExchangePtr&, const router::Problem& problem) override {
    reply(problem.status, problem.outcome, problem.pause / 1ms * 1ms);
  }
  void abandoned() override {}

  void begin(path::Shard& shard, const std::string& body, const std::string& timeout) {
    auto read =
        shard.front().read(body, timeout.empty() ? std::nullopt : std::optional<std::string_view>(timeout));
    if (const auto* wrong = std::get_if<router::Problem>(&read))
      return reply(wrong->status, wrong->outcome, Time::zero());
    auto& query = std::get<router::Query>(read);
    shard_ = &shard;
    exchange_ = std::make_shared<path::Exchange>();
    exchange_->began = shard.unread_since();
    exchange_->asker = shared_from_this();
    exchange_->statement = std::make_shared<const sql::Statement>(sql::Statement{std::move(query.statement)});
    shard.take(exchange_, std::move(query.ask));
  }
  void leave() {
    shard_->left(exchange_);
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
    if (exchange_) exchange_->asker = nullptr;
    const auto kept = shared_from_this();
    gateway_.life_->asked.erase(number_);
  }

  Gateway& gateway_;
  std::uint64_t number_;
  std::shared_ptr<Caller> caller_;
  path::Shard* shard_ = nullptr;
  path::ExchangePtr exchange_;
};

void Gateway::ShardWorld::tell(path::Told what) { gateway_.life_->tell(std::move(what)); }

void Gateway::Strands::order(std::size_t shard, std::vector<path::Order>& orders) {
  auto& life = *gateway_.life_;
  auto& waiting = life.orders[shard];
  const bool idle = waiting.empty();
  for (auto& order : orders) waiting.push_back(std::move(order));
  orders.clear();
  if (!idle) return;
  gateway_.process_.at(gateway_.process_.loop().now(), [&life, shard] {
    auto batch = std::exchange(life.orders[shard], {});
    life.shards[shard]->carry_out(batch);
  });
}

void Gateway::Strands::tell_peers(const router::TellPeers& tell) {
  const auto me = gateway_.number();
  for (const auto& other : gateway_.around_.all) {
    if (other->number() == me || (tell.to && *tell.to != other->number())) continue;
    gateway_.around_.network.datagram(other->process(), [to = other.get(), me, bytes = tell.bytes] {
      to->life_->tell({to->clocks_.now(), path::PeerCame{me, bytes}});
    });
  }
}

Gateway::Gateway(Surroundings around, config::Config config, std::shared_ptr<const graphql::Bound> schema,
                 std::uint16_t port)
    : around_(around),
      config_(std::move(config)),
      schema_(std::move(schema)),
      port_(port),
      process_(around.network.loop()),
      clocks_(around.network.loop(), kAhead * config_.module.me) {}

Gateway::~Gateway() { kill(); }

void Gateway::begin() {
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
void Gateway::kill() {
  if (!life_) return;
  process_.die();
  around_.network.close(port_);
  for (const auto& [number, asked] : life_->asked) asked->broken();
  life_->shards.clear();
  life_.reset();
}

void Gateway::ask(const std::shared_ptr<Caller>& caller, const std::string& body,
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

void Gateway::leave(const std::shared_ptr<Caller>& caller) {
  around_.network.message(
      process_,
      [this, caller] {
        const auto found = life_->asked.find(caller->number_);
        if (found != life_->asked.end()) std::shared_ptr(found->second)->leave();
      },
      nullptr);
}

void Gateway::listed(path::Listed listed) { life_->tell({clocks_.now(), std::move(listed)}); }

void Gateway::reload_groups(const std::string& text) {
  process_.run([this, text] {
    life_->strand->reload_groups(text);
    life_->arm();
  });
}

std::size_t Gateway::remembered() const { return life_ ? life_->strand->remembered() : 0; }

std::string Gateway::disagreement() const {
  if (!life_ || process_.stopped() || !life_->told.empty()) return "";
  for (const auto& orders : life_->orders)
    if (!orders.empty()) return "";
  const auto mine = open(), decided = life_->strand->open();
  if (mine == decided) return "";
  return fmt::format("{}: the strand has {} requests open, its shards {}", config_.name, decided, mine);
}

std::size_t Gateway::open() const {
  std::size_t sum = 0;
  if (life_)
    for (const auto& shard : life_->shards) sum += shard->open();
  return sum;
}

}  // namespace heronwell::emulator
