#include "rehearsal/audit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <ranges>
#include <set>

#include "rehearsal/client_request.hpp"
#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {
namespace {

using Json = nlohmann::json;
using Nanos = std::int64_t;
constexpr Nanos kNanosPerMillisecond = 1'000'000;
// The largest delay between the times at which two processes record the same moment, on a machine where all
// of them share few cores.
constexpr Nanos kObservationTolerance = 50 * kNanosPerMillisecond;
// Emulated networks send a lost stream segment again after this delay.
constexpr Nanos kRetransmissionDelay = 200 * kNanosPerMillisecond;
// The time that a router needs to answer overdue requests after it was stopped and continued.
constexpr Nanos kAnswerTimeAfterStop = 500 * kNanosPerMillisecond;
constexpr Nanos kNever = INT64_MAX;
constexpr std::size_t kMaxListedFindings = 100;

// A period of time; `to` is INT64_MAX while it is open.
struct Span {
  Nanos from = 0, to = INT64_MAX;
  [[nodiscard]] bool overlaps(Nanos a, Nanos b) const { return from <= b && a <= to; }
};

struct AnswerRecord {
  Nanos at = 0;
  int status = 0;
  std::string outcome;
};

// A request as its client recorded it.
struct RequestRecord {
  Nanos sent = 0, deadline = 0;
  std::string gateway, cls, first_try_id;
  std::uint64_t tenant = 0, key = 0;
  double work_ms = 0;
  std::vector<AnswerRecord> answers;
  unsigned end_count = 0;
  Nanos end = INT64_MAX;
  bool broken = false, head_received = false, gave_up = false;
};

// An attempt as its engine recorded it, from the read statement to its end.
struct Attempt {
  std::uint64_t connection = 0;  // the engine's number for it
  std::string engine, gateway;
  Nanos read = 0, end = INT64_MAX;
  bool began = false, rejected = false, sent = false, errored = false, answer_withheld = false;
  double work_ms = 0;
};

// The state of an engine as the list reported it to a router.
struct ReportedState {
  Nanos at = 0;
  int state = 1;  // 0 draining, 1 ready, 2 gone
};

// Work that reached an engine before it was warm, in core-seconds.
struct ColdArrival {
  Nanos at = 0;
  double work = 0, warmth = 1;
};

// Reads the records of one folder and checks them against the seven rules.
class RecordAudit {
 public:
  RecordAudit(const std::string& folder, Audit& audit)
      : folder_(folder), audit_(audit), day_(read_day(folder + "/day.yaml")) {
    if (day_.wires.lost > 0) tolerance_ += kRetransmissionDelay;
    read_file("day.jsonl", [this](const Json& j) { on_day(j); });
    for (const auto& file : std::filesystem::directory_iterator(folder))
      file_names_.insert(file.path().filename().string());
    if (!file_names_.contains("clients.jsonl") || !file_names_.contains("list.jsonl"))
      throw std::runtime_error(folder + ": the records of clients or list are missing");
    read_file("clients.jsonl", [this](const Json& j) { on_client(j); });
    read_file("list.jsonl", [this](const Json& j) { on_list(j); });
    for (const auto& name : file_names_)
      if (name.starts_with("engine-") && name.ends_with(".jsonl")) {
        engine_ = name.substr(0, name.size() - 6);
        read_file(name, [this](const Json& j) { on_engine(j); });
      }
    for (unsigned i = 0; i < day_.engines; ++i)
      if (!file_names_.contains(fmt::format("engine-{}.jsonl", i)))
        add_unreliable(fmt::format("engine-{}: no record", i));
    for (auto& [id, attempts] : attempts_) std::ranges::stable_sort(attempts, {}, &Attempt::read);
  }

  void check() {
    check_final_answers();
    check_effects();
    check_drains();
    check_cold_starts();
    check_order();
    check_placement();
    check_retry_budget();
    sum_worth();
  }

 private:
  void add_unreliable(const std::string& what) {
    if (audit_.unreliable.size() < kMaxListedFindings) audit_.unreliable.push_back(what);
  }
  void add_violation(unsigned rule, const std::string& id, const std::string& gateway,
                     const std::string& engine, Nanos at, const std::string& what) {
    ++audit_.broken[rule - 1];
    if (audit_.violations.size() < kMaxListedFindings)
      audit_.violations.push_back({rule, id, gateway, engine, static_cast<double>(at - start_) / 1e9, what});
  }
  void count_cases(unsigned rule, std::uint64_t cases = 1) { audit_.cases[rule - 1] += cases; }

  void read_file(const std::string& name, const std::function<void(const Json&)>& each) {
    std::ifstream file(folder_ + "/" + name);
    std::string line;
    bool whole = false;
    unsigned starts = 0, ended = 0;
    std::size_t number = 0;
    Nanos latest = 0;
    while (std::getline(file, line)) {
      ++number;
      const auto json = Json::parse(line, nullptr, false);
      if (!json.is_object() || !json.contains("t") || !json.contains("e")) {
        add_unreliable(fmt::format("{}:{}: a line that is cut short", name, number));
        continue;
      }
      const auto event = json["e"].get<std::string>();
      whole = event == "whole";
      starts += event == "begin" ? 1 : 0;
      ended += whole || event == "tipped" ? 1 : 0;
      if (start_ == 0) start_ = json["t"].get<Nanos>();
      // Each writer has one clock and writes its lines in the order of time.
      if (json["t"].get<Nanos>() < latest)
        add_unreliable(fmt::format("{}:{}: time goes backwards", name, number));
      latest = std::max(latest, json["t"].get<Nanos>());
      try {
        each(json);
      } catch (const Json::exception&) {
        add_unreliable(fmt::format("{}:{}: fields are missing", name, number));
      }
    }
    if (starts == 0) add_unreliable(name + ": no record");
    const auto killed = engine_kills_.contains(name) ? engine_kills_.at(name) : 0U;
    if (starts > ended + killed) add_unreliable(name + ": ends before its writer did");
  }

  static std::string text(const Json& j, const char* key) { return j.at(key).get<std::string>(); }
  static Nanos time(const Json& j) { return j.at("t").get<Nanos>(); }

  void on_day(const Json& j) {
    const auto event = text(j, "e");
    const auto at = time(j);
    const auto open = [&](std::map<std::string, std::vector<Span>>& spans, const std::string& who) {
      spans[who].push_back({at, INT64_MAX});
    };
    const auto close = [&](std::map<std::string, std::vector<Span>>& spans, const std::string& who) {
      if (!spans[who].empty() && spans[who].back().to == INT64_MAX) spans[who].back().to = at;
    };
    if (event == "gateway_stopped") open(stopped_gateways_, text(j, "gw"));
    if (event == "gateway_continued") close(stopped_gateways_, text(j, "gw"));
    if (event == "gateway_killed") open(killed_gateways_, text(j, "gw"));
    if (event == "gateway_ready") close(killed_gateways_, text(j, "gw"));
    if (event == "engine_stopped") open(stopped_engines_, text(j, "engine"));
    if (event == "engine_continued") close(stopped_engines_, text(j, "engine"));
    if (event == "engine_killed") {
      ++engine_kills_[text(j, "engine") + ".jsonl"];
      engine_kill_times_[text(j, "engine")].push_back(at);
    }
  }

  void on_client(const Json& j) {
    const auto event = text(j, "e");
    if (event == "begin" || event == "whole") return;
    const auto id = text(j, "id");
    if (event == "unconnected") {
      const auto gateway = text(j, "gw");
      if (!gateway_was_down(gateway, time(j) - kObservationTolerance, time(j)))
        add_unreliable(id + ": no connection to " + gateway + ", which was up");
      return;
    }
    if (event == "sent") {
      auto& request = requests_[id];
      if (request.sent != 0) add_unreliable(id + ": sent twice by one client");
      request.sent = time(j);
      request.deadline = j.at("deadline_ms").is_string()
                             ? std::stoll(text(j, "deadline_ms")) * kNanosPerMillisecond
                             : j.at("deadline_ms").get<Nanos>() * kNanosPerMillisecond;
      request.gateway = text(j, "gw");
      request.cls = text(j, "cls");
      request.first_try_id = text(j, "first");
      request.tenant = j.at("tenant").get<std::uint64_t>();
      request.key = j.at("key").get<std::uint64_t>();
      request.work_ms = j.at("work_ms").get<double>();
      return;
    }
    const auto found = requests_.find(id);
    if (found == requests_.end()) return add_unreliable(id + ": an end without a beginning");
    auto& request = found->second;
    if (event == "extra") {
      add_violation(1, id, request.gateway, "", time(j), "bytes after the final answer");
      return;
    }
    if (event == "resent" ||
        event == "reanswered") {  // repeated under its idempotency key: part of the same request
      if (event == "reanswered" && !j.at("whole").get<bool>() &&
          !gateway_was_down(request.gateway, time(j) - 10 * kObservationTolerance, time(j)))
        add_violation(1, id, request.gateway, "", time(j), "its repeat by key got no answer");
      return;
    }
    ++request.end_count;
    request.end = std::min(request.end, time(j));
    if (event == "answer")
      request.answers.push_back({time(j), j.at("status").get<int>(), text(j, "outcome")});
    if (event == "broken")
      request.broken = true,
      request.head_received = j.at("head").get<bool>() && j.at("bytes").get<std::uint64_t>() > 0;
    if (event == "gave_up") request.gave_up = true;
  }

  void on_list(const Json& j) {
    if (text(j, "e") != "told") return;
    const auto gateway = text(j, "gw");
    auto& reported = reported_states_[gateway];
    auto at = time(j);
    // A stopped router reads the answer of the endpoint list once it is continued.
    for (const auto& span : stopped_gateways_[gateway])
      if (span.overlaps(at, at)) at = span.to;
    std::set<std::string> named;
    for (const auto& [engine, entry] : j.at("engines").items()) {
      named.insert(engine);
      reported[engine].push_back({at, entry.at("state").get<int>()});
      locations_[engine] = {text(entry, "zone"), text(entry, "kind")};
    }
    for (auto& [engine, states] : reported)
      if (!named.contains(engine) && states.back().state != 2) states.push_back({at, 2});
  }

  void on_engine(const Json& j) {
    const auto event = text(j, "e");
    const auto at = time(j);
    if (event == "listening") engine_starts_warm_ = j.at("warm").get<bool>();
    if (event == "tipped") {
      add_violation(4, "", "", engine_, at, "a cold engine got too much work and crashed");
      return;
    }
    if (!j.contains("id")) return;
    const auto id = text(j, "id");
    if (id == "-") return;
    auto& attempts = attempts_[id];
    if (event == "read") {
      Attempt attempt;
      attempt.engine = engine_;
      attempt.gateway = text(j, "gw");
      attempt.read = at;
      attempt.connection = j.value("conn", std::uint64_t{0});
      for (const auto died : engine_kill_times_[engine_])
        if (died >= at) attempt.end = std::min(attempt.end, died);
      attempts.push_back(attempt);
      return;
    }
    // The latest attempt of this request on this engine, on this connection if the record names one.
    const auto connection = j.value("conn", std::uint64_t{0});
    const auto latest_first = attempts | std::views::reverse;
    const auto attempt = std::ranges::find_if(latest_first, [&](const Attempt& a) {
      return a.engine == engine_ && a.read <= at && (connection == 0 || a.connection == connection);
    });
    if (attempt == latest_first.end())
      return add_unreliable(fmt::format("{}: {} on {} without a statement read", id, event, engine_));
    if (event == "began") {
      attempt->began = true;
      attempt->work_ms = j.at("work_ms").get<double>();
      if (!engine_starts_warm_ && j.at("warmth").get<double>() < 1)
        cold_arrivals_[engine_].push_back({at, attempt->work_ms / 1e3, j.at("warmth").get<double>()});
    }
    if (event == "turned_away") attempt->rejected = true;
    if (event == "swallowed") attempt->answer_withheld = true;
    if (event == "sent") attempt->sent = true;
    if (event == "error") attempt->errored = true;
    if (event == "sent" || event == "error" || event == "cancel" || event == "dropped" || event == "closed" ||
        event == "cut")
      attempt->end = std::min(attempt->end, at);
  }

  [[nodiscard]] bool gateway_was_down(const std::string& gateway, Nanos from, Nanos to) const {
    const auto found = killed_gateways_.find(gateway);
    return found != killed_gateways_.end() && std::ranges::any_of(found->second, [&](const Span& s) {
             return s.overlaps(from - kObservationTolerance, to + kObservationTolerance);
           });
  }
  [[nodiscard]] std::optional<Nanos> stop_end(const std::string& gateway, Nanos from, Nanos to) const {
    const auto found = stopped_gateways_.find(gateway);
    if (found == stopped_gateways_.end()) return std::nullopt;
    std::optional<Nanos> latest;  // a request may span several stops
    for (const auto& span : found->second)
      if (span.overlaps(from, to)) latest = span.to;
    return latest;
  }
  [[nodiscard]] const ClassSettings* class_named(const std::string& name) const {
    const auto found = std::ranges::find(day_.settings.classes, name, &ClassSettings::name);
    return found == day_.settings.classes.end() ? nullptr : &*found;
  }
  [[nodiscard]] const std::vector<Attempt>& attempts(const std::string& id) const {
    static const std::vector<Attempt> none;
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? none : found->second;
  }

  // Rule 1: each request gets one final answer, in time.
  void check_final_answers() {
    for (const auto& [id, request] : requests_) {
      count_cases(1);
      const auto died = [&](Nanos to) { return gateway_was_down(request.gateway, request.sent, to); };
      if (request.end_count == 0) {
        add_unreliable(id + ": the record does not tell how it ended");
        continue;
      }
      if (request.end_count > 1)
        add_violation(1, id, request.gateway, "", request.end, "more than one final answer");
      // A stopped router cannot answer.
      const auto stop_ended = stop_end(request.gateway, request.sent + request.deadline, request.end);
      const bool stopped_meanwhile = stop_ended && *stop_ended + kAnswerTimeAfterStop > request.end;
      if (request.gave_up && !died(request.end) && !stopped_meanwhile)
        add_violation(1, id, request.gateway, "", request.end, "no final answer at all");
      if (request.broken && !died(request.end)) {
        const bool lost = request.head_received && std::ranges::none_of(attempts(id), &Attempt::sent);
        if (!lost)
          add_violation(1, id, request.gateway, "", request.end,
                        "the connection ended without a final answer");
      }
      for (const auto& answer : request.answers) {
        auto latest = request.sent + request.deadline + day_.settings.answer_grace_period.count() +
                      kObservationTolerance;
        if (const auto end = stop_end(request.gateway, request.sent, latest))
          latest = std::max(latest, *end + kAnswerTimeAfterStop);
        if (answer.at > latest)
          add_violation(1, id, request.gateway, "", answer.at,
                        fmt::format("{:.0f} ms after its deadline",
                                    static_cast<double>(answer.at - request.sent - request.deadline) / 1e6));
        const auto& tries = attempts(id);
        for (const auto& a : tries)
          if (a.read > answer.at + tolerance_ &&
              !engine_was_stopped(a.engine, a.read - 10 * tolerance_, a.read))
            add_violation(1, id, request.gateway, a.engine, a.read,
                          "a statement was sent after the final answer");
        if (answer.status == 200 && std::ranges::none_of(tries, &Attempt::sent))
          add_violation(1, id, request.gateway, "", answer.at,
                        "told served, though no engine sent an answer");
      }
    }
  }

  // Rule 2: no statement runs twice unless its class allows it.
  void check_effects() {
    for (const auto& [id, tries] : attempts_) {
      const auto found = requests_.find(id);
      if (found == requests_.end()) {
        add_unreliable(id + ": an engine read what no client sent");
        continue;
      }
      const auto& request = found->second;
      const auto* set = class_named(request.cls);
      if (set == nullptr) continue;
      count_cases(2);
      const bool not_idempotent = set->idempotency == Idempotency::not_idempotent;
      const auto ran = std::ranges::count_if(tries, &Attempt::began);
      if (not_idempotent && ran > 1)
        add_violation(2, id, tries[0].gateway, tries[1].engine, tries[1].read, "ran twice");
      for (std::size_t i = 1; i < tries.size(); ++i) {
        const auto& before = tries[i - 1];
        if (not_idempotent && !before.rejected && ran <= 1)
          add_violation(2, id, tries[i].gateway, tries[i].engine, tries[i].read,
                        "sent again, though it may have run on " + before.engine);
        if (set->idempotency == Idempotency::idempotency_key && !before.rejected &&
            !same_group(*set, before.engine, tries[i].engine))
          add_violation(2, id, tries[i].gateway, tries[i].engine, tries[i].read,
                        "repeated outside its group");
        if (set->idempotency == Idempotency::idempotency_key && !before.rejected &&
            tries[i].read - before.read > set->deduplication_window.count() + tolerance_)
          add_violation(2, id, tries[i].gateway, tries[i].engine, tries[i].read,
                        "repeated after its deduplication window");
        if (!day_.settings.hedging_enabled && before.end > tries[i].read + tolerance_ &&
            !engine_was_stopped(before.engine, before.read, tries[i].read) &&
            !engine_was_stopped(tries[i].engine, tries[i].read - tolerance_, tries[i].read))
          add_violation(2, id, tries[i].gateway, tries[i].engine, tries[i].read,
                        "two attempts out, the other on " + before.engine);
      }
      const bool repeatable_anywhere = set->idempotency == Idempotency::idempotent ||
                                       (set->idempotency == Idempotency::idempotency_key &&
                                        set->deduplication_scope == DeduplicationScope::all);
      for (const auto& answer : request.answers)
        if (!repeatable_anywhere && answer.outcome == "refused" &&
            std::ranges::any_of(tries, [](const Attempt& a) { return !a.rejected; }))
          add_violation(2, id, request.gateway, tries[0].engine, answer.at,
                        "refused, though it may have run");
    }
  }
  [[nodiscard]] bool same_group(const ClassSettings& set, const std::string& a, const std::string& b) const {
    if (set.deduplication_scope == DeduplicationScope::all) return true;
    const auto x = locations_.find(a), y = locations_.find(b);
    return set.deduplication_scope == DeduplicationScope::zone
               ? x != locations_.end() && y != locations_.end() && x->second.first == y->second.first
               : a == b;
  }
  // A stopped engine reads late and does not notice that its router has closed the connection.
  [[nodiscard]] bool engine_was_stopped(const std::string& engine, Nanos from, Nanos to) const {
    const auto found = stopped_engines_.find(engine);
    return found != stopped_engines_.end() && std::ranges::any_of(found->second, [&](const Span& s) {
             return Span{s.from, s.to == INT64_MAX ? s.to : s.to + 10 * kObservationTolerance}.overlaps(from,
                                                                                                        to);
           });
  }

  // Rule 3: a router sends nothing to an engine that the list reported as draining or gone to it before the
  // grace period.
  void check_drains() {
    for (const auto& [id, tries] : attempts_)
      for (const auto& a : tries) {
        const auto gateway = reported_states_.find(a.gateway);
        if (gateway == reported_states_.end()) continue;
        const auto states = gateway->second.find(a.engine);
        if (states == gateway->second.end()) {
          add_violation(3, id, a.gateway, a.engine, a.read, "sent to an engine that no list named");
          continue;
        }
        count_cases(3);
        if (engine_was_stopped(a.engine, a.read - 10 * kObservationTolerance, a.read))
          continue;  // the statement may have been sent long before
        const auto last = a.read - day_.settings.drain_grace_period.count() - tolerance_;
        Nanos not_ready_since = kNever;
        for (const auto& reported : states->second) {
          if (reported.at > a.read) break;
          not_ready_since = reported.state == 1 ? kNever : std::min(not_ready_since, reported.at);
        }
        if (not_ready_since < last)
          add_violation(3, id, a.gateway, a.engine, a.read,
                        fmt::format("{:.0f} ms after it was told",
                                    static_cast<double>(a.read - not_ready_since) / 1e6));
      }
  }

  // Rule 4: compares the work that reached a cold engine with its capacity at that moment.
  void check_cold_starts() {
    const double window = std::chrono::duration<double>(day_.settings.slow_start_overload_window).count();
    if (day_.settings.slow_start_overload_ratio <= 0) return;
    for (const auto& [engine, sends] : cold_arrivals_) {
      double sum = 0;
      std::size_t first = 0;
      for (std::size_t i = 0; i < sends.size(); ++i) {
        count_cases(4);
        sum += sends[i].work;
        while (sends[first].at <= sends[i].at - day_.settings.slow_start_overload_window.count())
          sum -= sends[first++].work;
        const double capacity =
            day_.settings.slow_start_overload_ratio * day_.traits.cores * sends[i].warmth * window;
        audit_.highest_cold_load_ratio = std::max(audit_.highest_cold_load_ratio, sum / capacity);
        if (sum > capacity + sends[i].work)
          add_violation(4, "", "", engine, sends[i].at, "more work than makes a cold engine crash");
      }
    }
  }

  // Rule 5: of two requests with the same ordering key that one router received one after the other, the
  // later is sent to an engine only once the earlier has ended.
  void check_order() {
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Nanos, std::string>>>
        requests_by_key;
    for (const auto& [id, request] : requests_)
      if (const auto* set = class_named(request.cls);
          set != nullptr && set->ordered_by_key && request.key != 0)
        requests_by_key[{request.gateway, request.key}].emplace_back(request.sent, id);
    for (auto& [key, requests] : requests_by_key) {
      std::ranges::sort(requests);
      for (std::size_t j = 1; j < requests.size(); ++j)
        for (std::size_t i = j > 20 ? j - 20 : 0; i < j; ++i) {
          const auto& earlier = requests[i];
          const auto& later = requests[j];
          // Within the tolerance the records do not show which came first.
          if (later.first < earlier.first + kObservationTolerance) continue;
          const auto& ran = attempts(later.second);
          if (ran.empty()) continue;
          count_cases(5);
          if (gateway_was_down(key.first, earlier.first, ran[0].read))
            continue;  // the router was restarted in between
          for (const auto& a : attempts(earlier.second)) {
            const auto finished = std::min(a.end, requests_.at(earlier.second).end);
            if (finished > ran[0].read + 2 * tolerance_ && a.read < ran[0].read &&
                !engine_was_stopped(a.engine, a.read, ran[0].read))
              add_violation(5, later.second, key.first, ran[0].engine, ran[0].read,
                            "sent while the earlier " + earlier.second + " was unfinished");
            if (a.read > ran[0].read + tolerance_ &&
                !engine_was_stopped(a.engine, a.read - 10 * tolerance_, a.read))
              add_violation(5, later.second, key.first, ran[0].engine, ran[0].read,
                            "sent ahead of the earlier " + earlier.second);
          }
        }
    }
  }

  // Rule 6: statements run only in the zones and on the machine types that their class allows.
  void check_placement() {
    const auto allows = [](const std::optional<std::vector<std::uint16_t>>& allowed,
                           const std::vector<std::string>& names, const std::string& name) {
      return !allowed || std::ranges::any_of(*allowed, [&](std::uint16_t n) { return names[n] == name; });
    };
    for (const auto& [id, tries] : attempts_) {
      const auto found = requests_.find(id);
      const auto* set = found == requests_.end() ? nullptr : class_named(found->second.cls);
      if (set == nullptr || (!set->allowed_zones && !set->allowed_machine_types)) continue;
      for (const auto& a : tries) {
        count_cases(6);
        const auto& [zone, kind] = locations_[a.engine];
        if (!allows(set->allowed_zones, day_.names.zones, zone) ||
            !allows(set->allowed_machine_types, day_.names.machine_types, kind))
          add_violation(6, id, a.gateway, a.engine, a.read, "on an engine that its class does not allow");
      }
    }
  }

  // Rule 7: retries stay within the retry budget. Engines see at most the attempts that were sent: a
  // connection attempt that failed is in no record.
  void check_retry_budget() {
    if (!day_.settings.retry_budget) return;
    const auto& budget = *day_.settings.retry_budget;
    std::map<std::string, std::vector<Nanos>> arrivals, retries;
    for (const auto& [id, request] : requests_) arrivals[request.gateway].push_back(request.sent);
    for (const auto& [id, tries] : attempts_)
      for (std::size_t i = 1; i < tries.size(); ++i) retries[tries[i].gateway].push_back(tries[i].read);
    for (auto& [gateway, times] : retries) {
      std::ranges::sort(times);
      auto& request_times = arrivals[gateway];
      std::ranges::sort(request_times);
      for (std::size_t i = 0; i < times.size(); ++i) {
        count_cases(7);
        const auto from = times[i] - budget.window.count();
        const auto within = static_cast<double>(std::ranges::upper_bound(times, times[i]) -
                                                std::ranges::upper_bound(times, from + 2 * tolerance_));
        const auto base = static_cast<double>(std::ranges::upper_bound(request_times, times[i]) -
                                              std::ranges::upper_bound(request_times, from - 2 * tolerance_));
        if (within > std::floor(budget.min_retries + budget.retries_per_request * base))
          add_violation(7, "", gateway, "", times[i],
                        fmt::format("{:.0f} further attempts for {:.0f} requests", within, base));
      }
    }
  }

  // Sums up how the clients' requests ended, by class and by tenant, weighted by priority weight.
  void sum_worth() {
    for (const auto& set : day_.settings.classes) audit_.classes.push_back({set.name});
    for (const auto& tenant : day_.settings.tenants) audit_.tenants.push_back({tenant.name});
    for (const auto& [id, tries] : attempts_) {
      const auto request = requests_.find(id);
      const auto* const found = request == requests_.end() ? nullptr : class_named(request->second.cls);
      if (found == nullptr) continue;
      double used = 0;
      for (const auto& a : tries)
        if (a.began && a.end != kNever) used += static_cast<double>(a.end - a.read) / 1e9 * found->threads;
      audit_.classes[static_cast<std::size_t>(found - day_.settings.classes.data())].engine_s += used;
      if (request->second.tenant < audit_.tenants.size())
        audit_.tenants[request->second.tenant].engine_s += used;
    }
    std::map<std::string, std::vector<const RequestRecord*>> tries_by_first_id;
    for (const auto& [id, request] : requests_) tries_by_first_id[request.first_try_id].push_back(&request);
    for (auto& [first, tries] : tries_by_first_id) {
      std::ranges::sort(tries, {}, &RequestRecord::sent);
      const auto& request = *tries.front();
      const auto found = std::ranges::find(day_.settings.classes, request.cls, &ClassSettings::name);
      if (found == day_.settings.classes.end()) continue;
      std::vector<WorthRow*> rows{
          &audit_.classes[static_cast<std::size_t>(found - day_.settings.classes.begin())]};
      if (request.tenant < audit_.tenants.size()) rows.push_back(&audit_.tenants[request.tenant]);
      std::optional<Time> took;
      bool refused = false, failed = false;
      for (const auto* one : tries)
        for (const auto& answer : one->answers) {
          if (answer.status == 200 && !took) took = Time(answer.at - request.sent);
          refused = refused || answer.outcome == "refused";
          failed = failed || answer.outcome == "failed";
        }
      const double share = share_of_worth(*found, request.work_ms, took);
      for (auto* row : rows) {
        ++row->asked;
        ++(took      ? (share == 1 ? row->in_time : row->late)
           : failed  ? row->failed
           : refused ? row->refused
                     : row->lost);
        row->worth_asked += found->priority_weight;
        row->worth_served += share * found->priority_weight;
      }
    }
  }

  std::string folder_, engine_;
  Audit& audit_;
  Day day_;
  Nanos start_ = 0;
  // The tolerance between routers and engines; longer if lost data is retransmitted.
  Nanos tolerance_ = kObservationTolerance;
  bool engine_starts_warm_ = true;
  std::set<std::string> file_names_;
  std::map<std::string, unsigned> engine_kills_;
  std::map<std::string, std::vector<Nanos>> engine_kill_times_;
  std::map<std::string, std::vector<Span>> stopped_gateways_, killed_gateways_, stopped_engines_;
  std::map<std::string, RequestRecord> requests_;
  std::map<std::string, std::vector<Attempt>> attempts_;
  // The engine states that the endpoint list reported, by router and engine.
  std::map<std::string, std::map<std::string, std::vector<ReportedState>>> reported_states_;
  std::map<std::string, std::pair<std::string, std::string>> locations_;  // zone and kind
  std::map<std::string, std::vector<ColdArrival>> cold_arrivals_;
};

}  // namespace

bool Audit::kept() const {
  return unreliable.empty() && std::ranges::all_of(broken, [](auto n) { return n == 0; });
}
std::uint64_t Audit::checked() const {
  std::uint64_t sum = 0;
  for (const auto n : cases) sum += n;
  return sum;
}

Audit audit(const std::string& folder) {
  Audit result;
  RecordAudit record_audit(folder, result);
  record_audit.check();
  return result;
}

std::string report(const Audit& a) {
  constexpr std::array<const char*, 7> names{"one final answer, in time",
                                             "effects: nothing runs twice",
                                             "drains kept",
                                             "cold engines not pushed over",
                                             "order by key",
                                             "placement",
                                             "budget of further attempts"};
  std::string out = fmt::format("{:<5}{:<32}{:>10}{:>8}\n", "rule", "", "checked", "breaks");
  for (std::size_t i = 0; i < 7; ++i)
    out += fmt::format("{:<5}{:<32}{:>10}{:>8}\n", i + 1, names[i], a.cases[i], a.broken[i]);
  for (const auto& b : a.violations)
    out += fmt::format("broken: rule {} at {:.3f} s, request {}, gateway {}, engine {}: {}\n", b.rule, b.at,
                       b.request.empty() ? "-" : b.request, b.gateway.empty() ? "-" : b.gateway,
                       b.engine.empty() ? "-" : b.engine, b.what);
  for (const auto& what : a.unreliable) out += "unreliable: " + what + "\n";
  if (a.highest_cold_load_ratio > 0)
    out +=
        fmt::format("cold engines got {:.0f}% of what tips them at most\n", 100 * a.highest_cold_load_ratio);
  out += fmt::format("\n{:<16}{:>8}{:>9}{:>7}{:>9}{:>8}{:>7}{:>15}{:>11}{:>8}\n", "worth", "asked", "in time",
                     "late", "refused", "failed", "lost", "served/asked", "engine s", "share");
  const auto rows = [&](const std::vector<WorthRow>& all) {
    double engine_s = 0;
    for (const auto& r : all) engine_s += r.engine_s;
    for (const auto& r : all)
      out += fmt::format("{:<16}{:>8}{:>9}{:>7}{:>9}{:>8}{:>7}{:>14.1f}%{:>11.1f}{:>7.1f}%\n", r.name,
                         r.asked, r.in_time, r.late, r.refused, r.failed, r.lost,
                         r.worth_asked > 0 ? 100 * r.worth_served / r.worth_asked : 0.0, r.engine_s,
                         engine_s > 0 ? 100 * r.engine_s / engine_s : 0.0);
  };
  rows(a.classes);
  rows(a.tenants);
  out += fmt::format("{}: {} cases checked over the rules\n", a.kept() ? "rules kept" : "rules broken",
                     a.checked());
  return out;
}

}  // namespace heronwell::rehearsal
