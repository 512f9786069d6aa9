// The interface of heronwell: settings, events, actions and the class that turns one into the other.
// The decisions themselves are in src/decide/choice.cpp.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heronwell {

using Time = std::chrono::nanoseconds;  // a moment on the caller's clock, or a span
using RequestId = std::uint32_t;
using EngineId = std::uint32_t;
using ClassIndex = std::uint16_t;
using AttemptIndex = std::uint16_t;

enum class Effect { safe, keyed, unsafe };
enum class RepeatGroup { all, zone, cell };        // engines that drop each other's repeats
enum class Shortage { wait, shrink, overcommit };  // what happens when grants pass an engine's memory
enum class LoadField { inflight, queue, util, latency_ms, served, failed, memory_share, disk_share, unknown };

struct ClassSettings {
  std::string name;
  Time aim{};  // an answer within aim + aim_stretch x work / threads earns the full worth
  double aim_stretch = 0;
  Time give_up{};
  double worth = 1;
  double late_share = 0;  // of the worth, for an answer after its aim
  Effect effect = Effect::safe;
  RepeatGroup group = RepeatGroup::all;
  Time window{};  // keyed: how long repeats are dropped
  bool in_order = false;
  std::optional<std::vector<std::uint16_t>> zones;  // the only zones allowed
  std::optional<std::vector<std::uint16_t>> kinds;  // the only machine kinds allowed
  unsigned threads = 1;
  bool holds_group = false;      // a load: holds its data group on its engine
  bool waits_for_group = false;  // stands still while a load holds its group there
};

struct KindSettings {
  std::string name;
  double cores = 1;
  double memory_mb = 0;  // 0: not told
};

struct TenantSettings {
  std::string name;
  double share = 0;
  double quota_per_s = 0;  // over all gateways
};

struct RetryBudget {
  Time span{};
  double free = 0;   // further attempts allowed on top
  double ratio = 0;  // further attempts for each request taken
};

struct Settings {
  unsigned gateways = 1;
  unsigned me = 0;
  std::uint16_t zone = 0;
  Time step{std::chrono::milliseconds(5)};  // least time between calls of handle()
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;
  unsigned zones = 1;
  double price_cross_zone = 0;
  unsigned max_attempts = 1;
  std::size_t max_open = 0;  // 0: no limit told
  bool may_call_off = false;
  bool may_probe = false;
  bool may_tell = false;
  bool second_copies = false;
  bool retry_after = false;
  Time max_retry_after{};
  bool ask_for_list = false;  // changes come only after Observe or FetchList
  bool grants = false;
  bool priorities = false;
  bool tells_cost = false;
  double max_grant_share = 1;
  Shortage shortage = Shortage::wait;
  Time progress_pace{};  // 0: no notes
  bool load_in_answers = false;
  std::vector<LoadField> load_fields;
  Time drain_grace{};
  Time answer_grace{};
  double cold_from = 1;     // a started engine has this share of its capacity or more
  Time ramp_time{};         // and is warm after this
  double tip_multiple = 0;  // 0: cold engines need no care
  Time tip_window{};
  Time order_rest{};
  Time ask_within{};
  std::optional<RetryBudget> retry_budget;
};

// ---- events -------------------------------------------------------------------------------------------

enum class EngineState { draining, ready, gone };
enum class ListKind { delta, full, cached, failed };
enum class Result { served, error, turned_away, timed_out, not_connected, reset, called_off, moot };
enum class NoteKind { progress, spill, waiting };

struct EngineEntry {
  EngineId engine = 0;
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;
  std::uint16_t cell = 0;
  EngineState state = EngineState::ready;
  double weight = 1;
  Time last_start{};  // 0: long ago
};

struct Listing {
  ListKind kind = ListKind::full;
  std::vector<EngineEntry> engines;
};

struct Arrival {
  RequestId request = 0;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t order_key = 0;  // 0: none
  Time time_left{};
  std::optional<Time> cost;  // estimate of the work of all threads
  double memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;
  bool repeat = false;
};

struct Note {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  NoteKind kind = NoteKind::progress;
  double amount = 0;  // share done; MB missing; 1 waits for memory, 2 for a load
};

struct Outcome {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  Result result = Result::served;
  Time latency{};
  bool closed = false;
  std::optional<Time> work;  // of all threads, where answers tell it
  double memory_mb = 0;      // needed, where answers tell it
  std::vector<double> load;  // as Settings::load_fields
};

struct ClientLeft {
  RequestId request = 0;
};
struct Wake {};
struct Closing {};  // the process ends: all that is open gets its answer now
struct ProbeResult {
  EngineId engine = 0;
  Result result = Result::served;
  Time latency{};
  std::vector<double> load;
};
struct PeerMessage {
  std::uint32_t from = 0;
  std::string bytes;
};

using Event =
    std::variant<Listing, Arrival, Note, Outcome, ClientLeft, Wake, ProbeResult, PeerMessage, Closing>;

// ---- actions ------------------------------------------------------------------------------------------

struct Send {
  RequestId request = 0;
  EngineId engine = 0;
  Time until{};           // clock time at which the attempt is given up
  Time by = Time::max();  // not begun after this: engines drop repeats for a time only
};
struct CallOff {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};
struct Refuse {  // a retry does no harm
  RequestId request = 0;
  Time pause{};
};
struct Fail {  // no promise about the effect
  RequestId request = 0;
};
struct Terms {  // for the request's further sends; the priority also for what is out
  RequestId request = 0;
  double memory_mb = 0;  // 0: the engine's own choice
  std::uint8_t priority = 1;
};
struct WakeAfter {
  Time delay{};
};
struct Probe {
  EngineId engine = 0;
};
struct Tell {
  std::optional<std::uint32_t> to;  // a gateway's number; none: all others
  std::string bytes;                // 256 at most
};
struct Observe {
  bool on = true;
};
struct Trace {
  std::string text;
};

using Action = std::variant<Send, CallOff, Refuse, Fail, Terms, WakeAfter, Probe, Tell, Observe, Trace>;

// ---- the gateway --------------------------------------------------------------------------------------

struct ClassView {
  std::size_t queued = 0;
  unsigned running = 0;  // threads
  double budget = 0;     // threads
};

// Where requests of one class are divided further (resource groups), the host hands the module one of these:
// which of the held requests may go. Class, moment and engine stay the module's. Called within handle().
class Turns {
 public:
  virtual ~Turns() = default;
  // Requests of the class that may be let go, the first in turn first; good until the next call of either.
  // Those that are not held are passed by.
  virtual const std::vector<RequestId>& in_turn(ClassIndex cls) = 0;
  virtual void sent(RequestId request) = 0;  // further attempts and copies too
};

class Gateway {
 public:
  // Throws std::invalid_argument naming a senseless field. `turns` outlives it; null: each class is one
  // queue.
  Gateway(Settings settings, std::uint64_t seed, Turns* turns = nullptr);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Takes what has happened up to `now` and appends what to do. `now` never goes back.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);

  [[nodiscard]] ClassView view(ClassIndex cls) const;
  [[nodiscard]] double pool() const;  // threads

 private:
  class Choice;
  std::unique_ptr<Choice> choice_;
};

}  // namespace heronwell
