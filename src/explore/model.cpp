#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

#include "explore/model_parts.hpp"

namespace heronwell::explore {
namespace {

using namespace std::chrono_literals;
using path::Level;

constexpr Time kStart = 1000s;
constexpr Time kLongestPass = 500ms;
constexpr Time kLongestWay = 60s;  // of a fair way on
constexpr Time kWindow = 150ms;    // of the keyed class

constexpr const char* kSchema = R"(type Query {
  r1: Int @sql(statement: "select a /*hw id=r1 */", class: "lookup")
  r2: Int @sql(statement: "select a /*hw id=r2 */", class: "lookup")
}
type Mutation {
  g1: Int @sql(statement: "insert 1 /*hw id=g1 */", class: "load")
  g2: Int @sql(statement: "insert 2 /*hw id=g2 */", class: "load")
})";

config::Config read(const ModelPlan& plan) {
  const auto text = fmt::format(
      R"yaml(gateway: {{name: gw0, seed: 5, threads: {}, of: 1, number: 0}}
listen: {{port: 0{}}}
list: {{file: none}}
log: {{requests: none}}
kinds: {{small: {{cores: 4, memory: 4GiB}}}}
classes:
  lookup: {{aim: 300ms, give_up: 1s, waits_for_group: true}}
  load: {{aim: 300ms, give_up: 1s, effect: unsafe, holds_group: true}}
  turn: {{aim: 300ms, give_up: 1s, in_order: true}}
  booking: {{aim: 300ms, give_up: 1s, effect: keyed, repeat_window: {}}}
engines: {{never_began: ["53300"], cancel_wait: 100ms}}
{})yaml",
      plan.shards, plan.hold > 0 ? fmt::format(", hold: {}B", plan.hold) : "", yaml::duration_text(kWindow),
      plan.more);
  return config::read_config(yaml::Section::text(text, plan.name));
}

std::string id_in(std::string_view statement) {
  const auto at = statement.find("id=");
  if (at == std::string_view::npos) return "";
  const auto rest = statement.substr(at + 3);
  return std::string(rest.substr(0, rest.find_first_of(" *")));
}

}  // namespace

Setting::Setting(const ModelPlan& given)
    : plan(given),
      config(given.platform ? platform_config(given, kWindow) : read(given)),
      metrics(router::class_names(config.module)),
      front(config.module),
      tracer(config.trace, nullptr),
      bound(given.platform ? nullptr : path::bind_schema(config, kSchema, "explore")) {}

// ---- wires ---------------------------------------------------------------------------------------------
class SimTimer final : public path::Timer {
 public:
  explicit SimTimer(std::shared_ptr<Model::TimerState> state) : state_(std::move(state)) {}
  SimTimer(const SimTimer&) = delete;
  SimTimer& operator=(const SimTimer&) = delete;
  ~SimTimer() override { state_->alive = false; }
  void set(Time moment) override { state_->due = moment; }
  void cancel() override { state_->due = Time::max(); }

 private:
  std::shared_ptr<Model::TimerState> state_;
};

class Model::ShardWorld final : public path::ShardEnvironment {
 public:
  ShardWorld(Model& sim, std::uint16_t shard) : sim_(sim), shard_(shard) {}
  Time now() override { return sim_.now_; }
  std::uint64_t random_bits() override {
    sim_.footprint_.add(Footprint::draws);
    return ++sim_.drawn_;
  }
  void fill_random(std::span<unsigned char> bytes) override {
    sim_.footprint_.add(Footprint::draws);
    ++sim_.drawn_;
    for (auto& byte : bytes) byte = static_cast<unsigned char>(sim_.drawn_);
  }
  path::StreamPtr dial(const config::Address& address) override {
    return sim_.add_wire(shard_, true, static_cast<std::uint16_t>(address.port - 1));
  }
  path::TimerPtr create_timer(std::function<void()> then) override {
    auto state = std::make_shared<TimerState>();
    state->then = std::move(then);
    state->sweeper = !built;
    state->shard = shard_;
    sim_.footprint_.add(Footprint::timers);
    sim_.timers_.push_back(state);
    return std::make_unique<SimTimer>(std::move(state));
  }
  void defer(std::function<void()> then) override {
    sim_.footprint_.add(Footprint::deferred);
    sim_.deferred_.push_back(std::move(then));
  }
  void publish(path::TimedEvent what) override {
    sim_.footprint_.add(Footprint::told);
    if (const auto* end = std::get_if<router::AttemptEnd>(&what.event))
      if (!ended_.emplace(end->ticket, end->attempt).second)
        sim_.properties_.end_told_again(end->attempt + 1U);
    sim_.told_.push_back(std::move(what));
  }
  void log(Level, std::string) override {}
  bool built = false;  // the shard's own timer is made first

 private:
  Model& sim_;
  std::uint16_t shard_;
  std::set<std::pair<path::Ticket, AttemptIndex>> ended_;
};

class Model::Strands final : public path::DecisionEnvironment {
 public:
  explicit Strands(Model& sim) : sim_(sim) {}
  Time now() override { return sim_.now_; }
  Time unix_offset() override { return Time::zero(); }
  void deliver(std::size_t shard, std::vector<path::ShardCommand>& orders) override {
    sim_.footprint_.orders(shard);
    for (auto& order : orders) sim_.orders_[shard].push_back(std::move(order));
    orders.clear();
  }
  void send_gossip(const router::ForwardGossip&) override {}
  void log(Level, std::string) override {}

 private:
  Model& sim_;
};

Model::Model(Setting& setting)
    : setting_(setting),
      now_(kStart),
      orders_(setting.plan.shards),
      clients_(setting.plan.clients.size()),
      draining_(setting.plan.engines),
      splits_(setting.plan.splits),
      leaves_(setting.plan.leaves),
      failures_(setting.plan.failures),
      drains_(setting.plan.drains),
      idle_closes_(setting.plan.idle_closes),
      late_(setting.plan.late),
      stalls_(setting.plan.stalls),
      passes_(setting.plan.passes),
      restarts_(setting.plan.restarts),
      returns_(setting.plan.returns),
      hangs_(setting.plan.hangs),
      properties_(setting.plan.engines, setting.config.module.drain_grace_period, kWindow,
                  setting.config.module.hedging_enabled ? 2 : 1) {
  for (const auto& client : setting.plan.clients)
    for (const auto& asked : client) properties_.expect(asked);
  boot();
  strand_->receive(told_);
  told_.clear();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shards_[i]->execute(orders_[i]);
    orders_[i].clear();
  }
}

// A process begins: nothing is known of what was before; its list and its clients come.
void Model::boot() {
  const auto& plan = setting_.plan;
  strands_ = std::make_unique<Strands>(*this);
  strand_ =
      std::make_unique<path::DecisionLoop>(*strands_, setting_.config, setting_.metrics, 5, plan.shards);
  if (!plan.platform)
    graphql_ = std::make_unique<path::Graphql>(setting_.config, setting_.bound, [this] { return now_; });
  const auto shards = static_cast<std::uint16_t>(plan.shards);
  for (std::uint16_t i = 0; i < shards; ++i) {
    worlds_.push_back(std::make_unique<ShardWorld>(*this, i));
    shards_.push_back(std::make_unique<path::Shard>(*worlds_[i], setting_.config, setting_.metrics,
                                                    setting_.front, setting_.tracer, i, plan.shards));
    worlds_[i]->built = true;
    if (graphql_) shards_[i]->serve(*graphql_);
  }
  strand_->run();
  told_.push_back({now_, listed()});
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    auto& client = clients_[i];
    if (client.left) continue;
    const auto shard = static_cast<std::uint16_t>(i % shards_.size());
    const auto wire = add_wire(shard, false, static_cast<std::uint16_t>(i));
    client.wire = wire->id;
    client.reader = std::make_unique<http::Parser>(http::Role::response);
    wire->connecting = false;
    shards_[shard]->serve(wire, "");
    wire->room = plan.room;
  }
}

// The process dies at once, without a word: its kernel resets all connections.
void Model::die() {
  const auto heard = std::exchange(path::transition_observer, nullptr);  // what ends with it is no event
  for (auto& wire : wires_) wire->closed = true;
  shards_.clear();
  strand_.reset();
  strands_.reset();
  worlds_.clear();
  graphql_.reset();
  timers_.clear();
  deferred_.clear();
  told_.clear();
  ordered_.clear();
  for (auto& orders : orders_) orders.clear();
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    auto& client = clients_[i];
    while (client.answered < client.sent)
      properties_.router_died(setting_.plan.clients[i][client.answered++].id);
    client.rest.clear();
    client.in.clear();
    client.body.clear();
  }
  path::transition_observer = heard;
}

Model::~Model() {
  const auto heard =
      std::exchange(path::transition_observer, nullptr);  // what ends with the world is no event of it
  shards_.clear();                                        // connections close into the wires, which live on
  path::transition_observer = heard;
}

std::shared_ptr<Model::WireState> Model::add_wire(std::uint16_t shard, bool to_engine, std::uint16_t peer) {
  const auto to = to_engine ? WireState::To::engine : WireState::To::client;
  auto wire = std::make_shared<WireState>();
  wire->sim = this;
  wire->id = static_cast<std::uint16_t>(wires_.size());
  wire->shard = shard;
  wire->to = to;
  wire->peer = peer;
  wire->connecting = true;
  if (to_engine) wire->room = setting_.plan.engine_window;
  footprint_.add(Footprint::dials);
  footprint_.wire(wire->id);
  for (const auto& other : wires_)
    if (other->to == to && other->shard == shard && other->peer == peer) ++wire->ordinal;
  wires_.push_back(wire);
  return wire;
}

path::EndpointsChanged Model::listed() const {
  path::EndpointsChanged listed;
  for (std::size_t e = 0; e < draining_.size(); ++e) {
    fleet::EndpointEntry entry;
    entry.name = engine_name(e);
    entry.host = "127.0.0.1";
    entry.port = static_cast<std::uint16_t>(e + 1);
    entry.machine_type = "small";
    if (setting_.plan.platform) entry.zone = "east";
    entry.state = draining_[e] ? EndpointState::draining : EndpointState::ready;
    listed.entries.push_back(std::move(entry));
  }
  return listed;
}

// By what the connection is, not by when it was dialled, so that dials in either order make one state.
std::uint32_t Model::process_of(const WireState& wire) {
  return (wire.shard << 24U | wire.peer << 16U | wire.ordinal) + 1U;
}

std::shared_ptr<Model::WireState> Model::named(std::uint32_t process) const {
  return *std::ranges::find_if(wires_, [process](const auto& wire) {
    return wire->to == WireState::To::engine && process_of(*wire) == process;
  });
}

// ---- engines -------------------------------------------------------------------------------------------
void Model::engine_reads(WireState& wire) {
  auto& s = wire.session;
  while (!s.in.empty()) {
    if (!s.started) {
      const auto frame = sql::next_startup(s.in);
      if (frame.state != sql::Frame::State::complete) return;
      const auto startup = sql::read_startup(frame.message.payload);
      s.in.erase(0, frame.size);
      s.started = true;
      if (startup && startup->code == sql::kCancelCode) {
        s.cancels = startup->process;
        auto& target = *named(s.cancels);
        footprint_.wire(target.id);
        s.running = target.session.running;  // what it is meant for
        s.cancel_target = target.session.statements;
        continue;
      }
      sql::put_authentication_ok(wire.to_router);
      sql::put_key(wire.to_router, process_of(wire), 7);
      sql::put_ready(wire.to_router);
      s.ready = true;
      continue;
    }
    const auto frame = sql::next_message(s.in, 1 << 20);
    if (frame.state != sql::Frame::State::complete) return;
    const auto type = frame.message.type;
    const std::string payload(frame.message.payload);
    s.in.erase(0, frame.size);
    if (std::exchange(s.rejected_early, false)) continue;
    if (type == 'Q') statement(wire, std::string(sql::read_text(payload).value_or("")));
    if (type == 'P') s.text = std::string(sql::read_parse(payload).value_or("")), s.extended = true;
    if (type == 'S') statement(wire, s.text);
  }
}

void Model::statement(WireState& wire, const std::string& text) {
  auto& s = wire.session;
  const auto id = id_in(text);
  footprint_.add(Footprint::properties);
  properties_.statement_sent({id, wire.id, wire.peer, s.running, !wire.to_router.empty(), now_});
  s.running = id.empty() ? "probe" : id;
  ++s.statements;
}

std::string Model::answer_of(const Session& session) const {
  const auto rows = properties_.rows(session.running);
  std::string out;
  if (session.extended) sql::put_parse_complete(out), sql::put_bind_complete(out);
  if (session.running.starts_with('g')) {
    sql::put_no_data(out);
    sql::put_complete(out, "INSERT 0 1");
    sql::put_ready(out);
    return out;
  }
  sql::put_columns(out, {{"a", 25}});
  for (unsigned i = 0; i < rows; ++i)
    sql::put_row(out, {sql::Value(setting_.plan.liar ? "another" : session.running)});
  sql::put_complete(out, fmt::format("SELECT {}", rows));
  sql::put_ready(out);
  return out;
}

// ---- clients -------------------------------------------------------------------------------------------
std::string Model::request_message(const Asked& asked) {
  std::string text;
  const auto timeout = std::to_string(asked.timeout.count());
  std::vector<http::Field> fields{{"heronwell-timeout-ms", timeout},
                                  {"connection", asked.keep_alive ? "keep-alive" : "close"}};
  if (!asked.key.empty()) fields.push_back({"idempotency-key", asked.key});
  if (!asked.graphql.empty()) {
    fields.push_back({"content-type", "application/json"});
    http::put_request(text, "POST", "/graphql", "a", "{\"query\":" + path::quoted(asked.graphql) + "}",
                      fields);
    return text;
  }
  http::put_request(
      text, "POST", "/v1/query", "a",
      fmt::format(R"({{"statement":"select x /*hw id={} */","class":"{}"{}{}}})", asked.id, asked.cls,
                  asked.data_group == 0 ? "" : fmt::format(R"(,"data_group":{})", asked.data_group),
                  asked.order_key.empty() ? "" : fmt::format(R"(,"key":"{}")", asked.order_key)),
      fields);
  return text;
}

void Model::client_reads(WireState& wire, std::string_view bytes) {
  auto& client = clients_[wire.peer];
  footprint_.add(Footprint::properties);
  if (client.left) return;
  client.in += bytes;
  const auto& script = setting_.plan.clients[wire.peer];
  while (true) {
    const auto step = client.reader->next(client.in);
    client.body += step.body;
    client.in.erase(0, step.consumed);
    using Event = http::Parser::Event;
    if (step.event == Event::need_more) return;
    if (step.event == Event::error) return properties_.answer_unreadable(wire.peer);
    if (step.event == Event::head) {
      if (client.answered >= client.sent) return properties_.answer_unasked(wire.peer);
      client.body.clear();
      properties_.answer_begun(script[client.answered].id, client.reader->status(), now_);
    }
    if (step.event == Event::end) properties_.answer_whole(script[client.answered++].id, client.body, now_);
  }
}

// ---- time ----------------------------------------------------------------------------------------------
Time Model::next_timer() const {
  auto due = Time::max();
  for (const auto& timer : timers_)
    if (timer->alive && !timer->sweeper) due = std::min(due, timer->due);
  return due;
}

bool Model::pending_events() const {
  if (!deferred_.empty() || !told_.empty()) return true;
  if (std::ranges::any_of(orders_, [](const auto& o) { return !o.empty(); })) return true;
  if (strand_->next_due() <= now_ || next_timer() <= now_) return true;
  return std::ranges::any_of(wires_, [](const auto& w) {
    if (w->closed) return false;
    if (w->connecting) return true;
    if (w->to == WireState::To::engine && w->room_wanted) return true;
    return w->reading && (!w->to_router.empty() || w->end || w->reset);
  });
}

// On time, what nobody else sees goes by itself: the strand's ticks and the shards' own.
void Model::pass(bool stalled) {
  if (stalled) {
    for (auto& wire : wires_)
      if (!wire->to_router.empty() && !wire->arrived) wire->arrived = now_;
    now_ += setting_.plan.stall;
    return;
  }
  const auto limit = now_ + kLongestPass;
  while (true) {
    auto next = std::min(strand_->next_due(), next_timer());
    TimerState* sweeper = nullptr;
    for (const auto& timer : timers_)
      if (timer->alive && timer->sweeper && timer->due < next) next = timer->due, sweeper = timer.get();
    if (next > limit) {
      now_ = limit;
      return;
    }
    now_ = std::max(now_, next);
    if (sweeper != nullptr) {
      sweeper->due = Time::max();
      sweeper->then();
    } else if (next_timer() <= now_) {
      return;
    } else {
      std::string line;
      put(line, now_);
      mix(strand_history_, line);
      strand_->run();
    }
    if (!told_.empty() || !deferred_.empty() ||
        std::ranges::any_of(orders_, [](const auto& o) { return !o.empty(); }))
      return;
  }
}

// ---- choices -------------------------------------------------------------------------------------------
// A reader whose data group a load holds on its engine.
bool Model::stands_still(const WireState& wire) const {
  const auto held = properties_.data_group(wire.session.running);
  if (held == 0 || properties_.unsafe(wire.session.running)) return false;
  return std::ranges::any_of(wires_, [&](const auto& other) {
    return other->to == WireState::To::engine && other->peer == wire.peer && !other->closed &&
           properties_.unsafe(other->session.running) &&
           properties_.data_group(other->session.running) == held;
  });
}

// What must hold at any moment at which shards and strand have heard all of each other.
void Model::check_books() {
  if (!told_.empty() || !deferred_.empty() || strand_->next_due() <= now_) return;
  if (std::ranges::any_of(orders_, [](const auto& o) { return !o.empty(); })) return;
  properties_.books(strand_->registry().open_count(), remembered().exchanges, without_client(false));
}

void Model::take(const Choice& choice) {
  touch(choice);
  act(choice);
  check_books();
}

void Model::runs(std::size_t shard) {
  footprint_.shard(shard);
  if (setting_.plan.graphql())  // the keys of all shards are in one store
    for (std::size_t i = 0; i < shards_.size(); ++i) footprint_.shard(i);
}

std::optional<Choice> Model::fair() const {
  std::vector<Choice> all;
  choices(all);
  constexpr std::array order{Kind::reads,     Kind::engine_reads, Kind::deferred, Kind::told,  Kind::ordered,
                             Kind::connected, Kind::deliver,      Kind::over,     Kind::timer, Kind::due,
                             Kind::cancel,    Kind::finish,       Kind::answer,   Kind::send};
  for (const auto kind : order)
    for (const auto& choice : all)
      if (choice.kind == kind && (choice.b == 0 || kind == Kind::over)) return choice;
  const auto left = remembered();
  const bool over = left.remembered + left.exchanges + left.attempts + left.cancels == 0;
  if (over || now_ > kStart + kLongestWay) return std::nullopt;
  return Choice{Kind::pass, 0, 0};
}

void Model::check_end() { properties_.end(remembered(), without_client(true)); }

Properties::Left Model::remembered() const {
  Properties::Left left;
  left.open = strand_->registry().open_count();
  left.remembered = strand_->registry().remembered_count();
  for (std::size_t c = 0; c < setting_.config.module.classes.size(); ++c) {
    const auto view = strand_->registry().decision_engine().class_view(static_cast<ClassIndex>(c));
    left.queued += view.queued;
    left.running += static_cast<std::size_t>(view.running_threads);
  }
  for (const auto& shard : shards_) {
    const auto books = shard->counts();
    left.exchanges += books.requests;
    left.attempts += books.attempts;
    left.cancels += books.cancel_requests;
  }
  return left;
}

// Requests whose client the router knows to be gone; or, `by_itself`, any that has left.
std::vector<std::string> Model::without_client(bool by_itself) const {
  std::vector<std::string> ids;
  for (const auto& client : clients_) {
    const auto& wire = *wires_[client.wire];
    if (!wire.closed && !wire.gone && !(by_itself && client.left)) continue;
    for (const auto& asked : setting_.plan.clients[wire.peer]) ids.push_back(asked.id);
  }
  return ids;
}

}  // namespace heronwell::explore
