#include "emulator/gateway.hpp"

#include <utility>

#include "emulator/list.hpp"

namespace heronwell::emulator {
namespace {

using namespace std::chrono_literals;
constexpr Time kMeasure = 500ms;  // as the daemon's

}  // namespace

class Gateway::ShardWorld final : public path::World {
 public:
  ShardWorld(Gateway& gateway, std::uint64_t seed) : gateway_(gateway), random_(seed) {}
  Time now() override { return gateway_.process_.loop().now(); }
  std::uint64_t drawn() override { return random_(); }
  void draw(std::span<unsigned char> bytes) override {
    for (auto& byte : bytes) byte = static_cast<unsigned char>(random_());
  }
  path::WirePtr dial(const config::Address& address) override {
    return gateway_.around_.network.dial(gateway_.process_, address.port);
  }
  path::TimerPtr timer(std::function<void()> then) override;
  void defer(std::function<void()> then) override { gateway_.process_.at(now(), std::move(then)); }
  void tell(path::Told what) override;
  void log(path::Level, std::string) override {}

 private:
  struct Moment;
  class EmulatedTimer;
  Gateway& gateway_;
  pcg64 random_;
};

struct Gateway::ShardWorld::Moment {
  std::function<void()> then;
  std::uint64_t set = 0;  // times
  bool due = false;
};

class Gateway::ShardWorld::EmulatedTimer final : public path::Timer {
 public:
  EmulatedTimer(Process& process, std::function<void()> then)
      : process_(process), moment_(std::make_shared<Moment>()) {
    moment_->then = std::move(then);
  }
  ~EmulatedTimer() override { moment_->due = false; }
  void set(Time when) override {
    moment_->due = true;
    process_.at(when, [weak = std::weak_ptr(moment_), set = ++moment_->set] {
      const auto moment = weak.lock();
      if (!moment || !moment->due || moment->set != set) return;
      moment->due = false;
      moment->then();
    });
  }
  void cancel() override { moment_->due = false; }

 private:
  Process& process_;
  std::shared_ptr<Moment> moment_;
};

path::TimerPtr Gateway::ShardWorld::timer(std::function<void()> then) {
  return std::make_unique<EmulatedTimer>(gateway_.process_, std::move(then));
}

class Gateway::Strands final : public path::StrandWorld {
 public:
  explicit Strands(Gateway& gateway) : gateway_(gateway) {}
  Time now() override { return gateway_.process_.loop().now(); }
  Time unix_offset() override { return gateway_.around_.unix_offset; }
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
        tracer(of.config_.trace, of.config_.name, "", of.around_.unix_offset),
        strands(of),
        strand(strands, of.config_, metrics, of.config_.seed.value_or(1), of.config_.threads),
        orders(of.config_.threads) {
    if (of.schema_) graphql.emplace(of.config_, of.schema_, [&of] { return of.process_.loop().now(); });
    for (unsigned i = 0; i < of.config_.threads; ++i) {
      worlds.push_back(std::make_unique<ShardWorld>(of, of.config_.seed.value_or(1) * 64 + i));
      shards.push_back(std::make_unique<path::Shard>(*worlds[i], of.config_, metrics, front, tracer, i,
                                                     of.config_.threads));
      if (graphql) shards[i]->serve(*graphql);
    }
  }

  void tell(path::Told&& what) {
    told.push_back(std::move(what));
    if (std::exchange(reading, true)) return;
    gateway.process_.at(gateway.process_.loop().now(), [this] {
      reading = false;
      strand.read(std::exchange(told, {}));
      arm();
    });
  }

  void arm() {
    const auto due = strand.next_due();
    if (due == armed || due == Time::max()) return;
    armed = due;
    gateway.process_.at(due, [this, due] {
      if (armed != due) return;
      armed = Time::max();
      strand.run();
      arm();
    });
  }

  void measure() {
    strand.measure();
    gateway.process_.at(gateway.process_.loop().now() + kMeasure, [this] { measure(); });
  }

  Gateway& gateway;
  path::Metrics metrics;
  router::Front front;
  trace::Tracer tracer;
  std::optional<path::Graphql> graphql;
  Strands strands;
  path::Strand strand;
  std::vector<path::Told> told;  // for the strand
  bool reading = false;
  Time armed = Time::max();
  std::vector<std::vector<path::Order>> orders;  // by shard
  std::vector<std::unique_ptr<ShardWorld>> worlds;
  std::vector<std::unique_ptr<path::Shard>> shards;
  std::size_t clients = 0;  // so far, dealt out in turn
};

void Gateway::ShardWorld::tell(path::Told what) { gateway_.life_->tell(std::move(what)); }

void Gateway::Strands::order(std::size_t shard, std::vector<path::Order>& orders) {
  auto& life = *gateway_.life_;
  auto& waiting = life.orders[shard];
  const bool idle = waiting.empty();
  for (auto& order : orders) waiting.push_back(std::move(order));
  orders.clear();
  if (!idle) return;
  gateway_.process_.at(now(), [&life, shard] {
    auto batch = std::exchange(life.orders[shard], {});
    life.shards[shard]->carry_out(batch);
  });
}

void Gateway::Strands::tell_peers(const router::TellPeers& tell) {
  const auto me = gateway_.number();
  for (const auto& other : gateway_.around_.all) {
    if (other->number() == me || (tell.to && *tell.to != other->number())) continue;
    gateway_.around_.network.datagram(other->process(), [to = other.get(), me, bytes = tell.bytes] {
      to->life_->tell({to->process_.loop().now(), path::PeerCame{me, bytes}});
    });
  }
}

Gateway::Gateway(Surroundings around, config::Config config, std::shared_ptr<const graphql::Bound> schema,
                 std::uint16_t port)
    : around_(around),
      config_(std::move(config)),
      schema_(std::move(schema)),
      port_(port),
      process_(around.network.loop()) {}

Gateway::~Gateway() { kill(); }

void Gateway::begin() {
  kill();
  process_.begin();
  life_ = std::make_unique<Life>(*this);
  life_->strand.on_ready([this] {
    if (ready_) ready_();
  });
  around_.network.listen(port_, process_, [this](const EndPtr& end) {
    auto& life = *life_;
    life.shards[life.clients++ % life.shards.size()]->serve(end, "127.0.0.1");
  });
  life_->strand.run();
  life_->arm();
  life_->measure();
  around_.list.ask(*this, 0);
}

// At once and without a word: its kernel closes its connections.
void Gateway::kill() {
  if (!life_) return;
  process_.die();
  around_.network.close(port_);
  life_->shards.clear();
  life_.reset();
}

void Gateway::listed(path::Listed listed) { life_->tell({process_.loop().now(), std::move(listed)}); }

void Gateway::reload_groups(const std::string& text) {
  process_.run([this, text] {
    life_->strand.reload_groups(text);
    life_->arm();
  });
}

const router::Host* Gateway::host() const { return life_ ? &life_->strand.host() : nullptr; }

std::size_t Gateway::open() const {
  std::size_t sum = 0;
  if (life_)
    for (const auto& shard : life_->shards) sum += shard->open();
  return sum;
}

}  // namespace heronwell::emulator
