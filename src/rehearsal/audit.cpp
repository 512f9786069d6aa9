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
constexpr Nanos kMs = 1'000'000;
// What may pass between two processes' looks at one moment, on a machine where all of them share few cores.
constexpr Nanos kSlack = 50 * kMs;
constexpr Nanos kSentAgain = 200 * kMs;   // a lost piece of a stream, on emulated networks
constexpr Nanos kAfterStall = 500 * kMs;  // for a router that was stopped to answer what is overdue
constexpr Nanos kNever = INT64_MAX;
constexpr std::size_t kMostBreaks = 100;

struct Span {
  Nanos from = 0, to = INT64_MAX;
  [[nodiscard]] bool meets(Nanos a, Nanos b) const { return from <= b && a <= to; }
};

struct Answered {
  Nanos at = 0;
  int status = 0;
  std::string outcome;
};

struct Asked {
  Nanos sent = 0, deadline = 0;
  std::string gateway, cls, first;
  std::uint64_t tenant = 0, key = 0;
  double work_ms = 0;
  std::vector<Answered> answers;
  unsigned ends = 0;
  Nanos end = INT64_MAX;
  bool broken = false, head = false, gave_up = false;
};

struct Attempt {
  std::uint64_t connection = 0;  // of the engine's numbers
  std::string engine, gateway;
  Nanos read = 0, end = INT64_MAX;
  bool began = false, turned_away = false, sent = false, errored = false, swallowed = false;
  double work_ms = 0;
};

struct Told {
  Nanos at = 0;
  int state = 1;  // 0 draining, 1 ready, 2 gone
};

struct Cold {
  Nanos at = 0;
  double work = 0, warmth = 1;
};

class Reader {
 public:
  Reader(const std::string& folder, Audit& audit)
      : folder_(folder), audit_(audit), day_(read_day(folder + "/day.yaml")) {
    if (day_.wires.lost > 0) slack_ += kSentAgain;
    read_file("day.jsonl", [this](const Json& j) { on_day(j); });
    for (const auto& file : std::filesystem::directory_iterator(folder))
      names_.insert(file.path().filename().string());
    if (!names_.contains("clients.jsonl") || !names_.contains("list.jsonl"))
      throw std::runtime_error(folder + ": the records of clients or list are missing");
    read_file("clients.jsonl", [this](const Json& j) { on_client(j); });
    read_file("list.jsonl", [this](const Json& j) { on_list(j); });
    for (const auto& name : names_)
      if (name.starts_with("engine-") && name.ends_with(".jsonl")) {
        engine_ = name.substr(0, name.size() - 6);
        read_file(name, [this](const Json& j) { on_engine(j); });
      }
    for (unsigned i = 0; i < day_.engines; ++i)
      if (!names_.contains(fmt::format("engine-{}.jsonl", i))) bad(fmt::format("engine-{}: no record", i));
    for (auto& [id, attempts] : attempts_) std::ranges::stable_sort(attempts, {}, &Attempt::read);
  }

  void check() {
    final_answers();
    effects();
    drains();
    cold_starts();
    order();
    placement();
    budget();
    worth();
  }

 private:
  void bad(const std::string& what) {
    if (audit_.unreliable.size() < kMostBreaks) audit_.unreliable.push_back(what);
  }
  void broke(unsigned rule, const std::string& id, const std::string& gateway, const std::string& engine,
             Nanos at, const std::string& what) {
    ++audit_.broken[rule - 1];
    if (audit_.violations.size() < kMostBreaks)
      audit_.violations.push_back({rule, id, gateway, engine, static_cast<double>(at - start_) / 1e9, what});
  }
  void checked(unsigned rule, std::uint64_t cases = 1) { audit_.cases[rule - 1] += cases; }

  void read_file(const std::string& name, const std::function<void(const Json&)>& each) {
    std::ifstream file(folder_ + "/" + name);
    std::string line;
    bool whole = false;
    unsigned lives = 0, ended = 0;
    std::size_t number = 0;
    Nanos latest = 0;
    while (std::getline(file, line)) {
      ++number;
      const auto json = Json::parse(line, nullptr, false);
      if (!json.is_object() || !json.contains("t") || !json.contains("e")) {
        bad(fmt::format("{}:{}: a line that is cut short", name, number));
        continue;
      }
      const auto event = json["e"].get<std::string>();
      whole = event == "whole";
      lives += event == "begin" ? 1 : 0;
      ended += whole || event == "tipped" ? 1 : 0;
      if (start_ == 0) start_ = json["t"].get<Nanos>();
      // Each writer has one clock and writes in its order.
      if (json["t"].get<Nanos>() < latest) bad(fmt::format("{}:{}: time goes backwards", name, number));
      latest = std::max(latest, json["t"].get<Nanos>());
      try {
        each(json);
      } catch (const Json::exception&) {
        bad(fmt::format("{}:{}: fields are missing", name, number));
      }
    }
    if (lives == 0) bad(name + ": no record");
    const auto killed = kills_.contains(name) ? kills_.at(name) : 0U;
    if (lives > ended + killed) bad(name + ": ends before its writer did");
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
    if (event == "gateway_stopped") open(stalled_, text(j, "gw"));
    if (event == "gateway_continued") close(stalled_, text(j, "gw"));
    if (event == "gateway_killed") open(killed_, text(j, "gw"));
    if (event == "gateway_ready") close(killed_, text(j, "gw"));
    if (event == "engine_stopped") open(hung_, text(j, "engine"));
    if (event == "engine_continued") close(hung_, text(j, "engine"));
    if (event == "engine_killed") {
      ++kills_[text(j, "engine") + ".jsonl"];
      engine_deaths_[text(j, "engine")].push_back(at);
    }
  }

  void on_client(const Json& j) {
    const auto event = text(j, "e");
    if (event == "begin" || event == "whole") return;
    const auto id = text(j, "id");
    if (event == "unconnected") {
      const auto gateway = text(j, "gw");
      if (!down(gateway, time(j) - kSlack, time(j)))
        bad(id + ": no connection to " + gateway + ", which was up");
      return;
    }
    if (event == "sent") {
      auto& asked = asked_[id];
      if (asked.sent != 0) bad(id + ": sent twice by one client");
      asked.sent = time(j);
      asked.deadline = j.at("deadline_ms").is_string() ? std::stoll(text(j, "deadline_ms")) * kMs
                                                       : j.at("deadline_ms").get<Nanos>() * kMs;
      asked.gateway = text(j, "gw");
      asked.cls = text(j, "cls");
      asked.first = text(j, "first");
      asked.tenant = j.at("tenant").get<std::uint64_t>();
      asked.key = j.at("key").get<std::uint64_t>();
      asked.work_ms = j.at("work_ms").get<double>();
      return;
    }
    const auto found = asked_.find(id);
    if (found == asked_.end()) return bad(id + ": an end without a beginning");
    auto& asked = found->second;
    if (event == "extra") {
      broke(1, id, asked.gateway, "", time(j), "bytes after the final answer");
      return;
    }
    if (event == "resent" ||
        event == "reanswered") {  // under its idempotency key: counts for the same request
      if (event == "reanswered" && !j.at("whole").get<bool>() &&
          !down(asked.gateway, time(j) - 10 * kSlack, time(j)))
        broke(1, id, asked.gateway, "", time(j), "its repeat by key got no answer");
      return;
    }
    ++asked.ends;
    asked.end = std::min(asked.end, time(j));
    if (event == "answer") asked.answers.push_back({time(j), j.at("status").get<int>(), text(j, "outcome")});
    if (event == "broken")
      asked.broken = true, asked.head = j.at("head").get<bool>() && j.at("bytes").get<std::uint64_t>() > 0;
    if (event == "gave_up") asked.gave_up = true;
  }

  void on_list(const Json& j) {
    if (text(j, "e") != "told") return;
    const auto gateway = text(j, "gw");
    auto& told = told_[gateway];
    auto at = time(j);
    for (const auto& span : stalled_[gateway])  // it read this when it ran again
      if (span.meets(at, at)) at = span.to;
    std::set<std::string> named;
    for (const auto& [engine, entry] : j.at("engines").items()) {
      named.insert(engine);
      told[engine].push_back({at, entry.at("state").get<int>()});
      places_[engine] = {text(entry, "zone"), text(entry, "kind")};
    }
    for (auto& [engine, states] : told)
      if (!named.contains(engine) && states.back().state != 2) states.push_back({at, 2});
  }

  void on_engine(const Json& j) {
    const auto event = text(j, "e");
    const auto at = time(j);
    if (event == "listening") warm_ = j.at("warm").get<bool>();
    if (event == "tipped") {
      broke(4, "", "", engine_, at, "a cold engine was pushed over");
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
      for (const auto died : engine_deaths_[engine_])
        if (died >= at) attempt.end = std::min(attempt.end, died);
      attempts.push_back(attempt);
      return;
    }
    // The youngest attempt of this request on this engine, on this connection if the record names one.
    const auto connection = j.value("conn", std::uint64_t{0});
    const auto youngest_first = attempts | std::views::reverse;
    const auto mine = std::ranges::find_if(youngest_first, [&](const Attempt& a) {
      return a.engine == engine_ && a.read <= at && (connection == 0 || a.connection == connection);
    });
    if (mine == youngest_first.end())
      return bad(fmt::format("{}: {} on {} without a statement read", id, event, engine_));
    if (event == "began") {
      mine->began = true;
      mine->work_ms = j.at("work_ms").get<double>();
      if (!warm_ && j.at("warmth").get<double>() < 1)
        cold_[engine_].push_back({at, mine->work_ms / 1e3, j.at("warmth").get<double>()});
    }
    if (event == "turned_away") mine->turned_away = true;
    if (event == "swallowed") mine->swallowed = true;
    if (event == "sent") mine->sent = true;
    if (event == "error") mine->errored = true;
    if (event == "sent" || event == "error" || event == "cancel" || event == "dropped" || event == "closed" ||
        event == "cut")
      mine->end = std::min(mine->end, at);
  }

  [[nodiscard]] bool down(const std::string& gateway, Nanos from, Nanos to) const {
    const auto found = killed_.find(gateway);
    return found != killed_.end() && std::ranges::any_of(found->second, [&](const Span& s) {
             return s.meets(from - kSlack, to + kSlack);
           });
  }
  [[nodiscard]] std::optional<Nanos> stall_end(const std::string& gateway, Nanos from, Nanos to) const {
    const auto found = stalled_.find(gateway);
    if (found == stalled_.end()) return std::nullopt;
    std::optional<Nanos> latest;  // a request may have met several
    for (const auto& span : found->second)
      if (span.meets(from, to)) latest = span.to;
    return latest;
  }
  [[nodiscard]] const ClassSettings* cls(const std::string& name) const {
    const auto found = std::ranges::find(day_.settings.classes, name, &ClassSettings::name);
    return found == day_.settings.classes.end() ? nullptr : &*found;
  }
  [[nodiscard]] const std::vector<Attempt>& attempts(const std::string& id) const {
    static const std::vector<Attempt> none;
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? none : found->second;
  }

  // Rule 1.
  void final_answers() {
    for (const auto& [id, asked] : asked_) {
      checked(1);
      const auto died = [&](Nanos to) { return down(asked.gateway, asked.sent, to); };
      if (asked.ends == 0) {
        bad(id + ": the record does not tell how it ended");
        continue;
      }
      if (asked.ends > 1) broke(1, id, asked.gateway, "", asked.end, "more than one final answer");
      // While its router was stopped nobody could answer it.
      const auto back = stall_end(asked.gateway, asked.sent + asked.deadline, asked.end);
      const bool away = back && *back + kAfterStall > asked.end;
      if (asked.gave_up && !died(asked.end) && !away)
        broke(1, id, asked.gateway, "", asked.end, "no final answer at all");
      if (asked.broken && !died(asked.end)) {
        const bool lost = asked.head && std::ranges::none_of(attempts(id), &Attempt::sent);
        if (!lost) broke(1, id, asked.gateway, "", asked.end, "the connection ended without a final answer");
      }
      for (const auto& answer : asked.answers) {
        auto latest = asked.sent + asked.deadline + day_.settings.answer_grace_period.count() + kSlack;
        if (const auto end = stall_end(asked.gateway, asked.sent, latest))
          latest = std::max(latest, *end + kAfterStall);
        if (answer.at > latest)
          broke(1, id, asked.gateway, "", answer.at,
                fmt::format("{:.0f} ms after its deadline",
                            static_cast<double>(answer.at - asked.sent - asked.deadline) / 1e6));
        const auto& tries = attempts(id);
        for (const auto& a : tries)
          if (a.read > answer.at + slack_ && !hung(a.engine, a.read - 10 * slack_, a.read))
            broke(1, id, asked.gateway, a.engine, a.read, "a statement was sent after the final answer");
        if (answer.status == 200 && std::ranges::none_of(tries, &Attempt::sent))
          broke(1, id, asked.gateway, "", answer.at, "told served, though no engine sent an answer");
      }
    }
  }

  // Rule 2.
  void effects() {
    for (const auto& [id, tries] : attempts_) {
      const auto found = asked_.find(id);
      if (found == asked_.end()) {
        bad(id + ": an engine read what no client sent");
        continue;
      }
      const auto& asked = found->second;
      const auto* set = cls(asked.cls);
      if (set == nullptr) continue;
      checked(2);
      const bool unsafe = set->idempotency == Idempotency::not_idempotent;
      const auto ran = std::ranges::count_if(tries, &Attempt::began);
      if (unsafe && ran > 1) broke(2, id, tries[0].gateway, tries[1].engine, tries[1].read, "ran twice");
      for (std::size_t i = 1; i < tries.size(); ++i) {
        const auto& before = tries[i - 1];
        if (unsafe && !before.turned_away && ran <= 1)
          broke(2, id, tries[i].gateway, tries[i].engine, tries[i].read,
                "sent again, though it may have run on " + before.engine);
        if (set->idempotency == Idempotency::idempotency_key && !before.turned_away &&
            !same_group(*set, before.engine, tries[i].engine))
          broke(2, id, tries[i].gateway, tries[i].engine, tries[i].read, "repeated outside its group");
        if (set->idempotency == Idempotency::idempotency_key && !before.turned_away &&
            tries[i].read - before.read > set->deduplication_window.count() + slack_)
          broke(2, id, tries[i].gateway, tries[i].engine, tries[i].read, "repeated after its window");
        if (!day_.settings.hedging_enabled && before.end > tries[i].read + slack_ &&
            !hung(before.engine, before.read, tries[i].read) &&
            !hung(tries[i].engine, tries[i].read - slack_, tries[i].read))
          broke(2, id, tries[i].gateway, tries[i].engine, tries[i].read,
                "two attempts out, the other on " + before.engine);
      }
      const bool harmless = set->idempotency == Idempotency::idempotent ||
                            (set->idempotency == Idempotency::idempotency_key &&
                             set->deduplication_scope == DeduplicationScope::all);
      for (const auto& answer : asked.answers)
        if (!harmless && answer.outcome == "refused" &&
            std::ranges::any_of(tries, [](const Attempt& a) { return !a.turned_away; }))
          broke(2, id, asked.gateway, tries[0].engine, answer.at, "refused, though it may have run");
    }
  }
  [[nodiscard]] bool same_group(const ClassSettings& set, const std::string& a, const std::string& b) const {
    if (set.deduplication_scope == DeduplicationScope::all) return true;
    const auto x = places_.find(a), y = places_.find(b);
    return set.deduplication_scope == DeduplicationScope::zone
               ? x != places_.end() && y != places_.end() && x->second.first == y->second.first
               : a == b;
  }
  // A stopped engine reads late, and does not notice that its router has hung up.
  [[nodiscard]] bool hung(const std::string& engine, Nanos from, Nanos to) const {
    const auto found = hung_.find(engine);
    return found != hung_.end() && std::ranges::any_of(found->second, [&](const Span& s) {
             return Span{s.from, s.to == INT64_MAX ? s.to : s.to + 10 * kSlack}.meets(from, to);
           });
  }

  // Rule 3.
  void drains() {
    for (const auto& [id, tries] : attempts_)
      for (const auto& a : tries) {
        const auto gateway = told_.find(a.gateway);
        if (gateway == told_.end()) continue;
        const auto states = gateway->second.find(a.engine);
        if (states == gateway->second.end()) {
          broke(3, id, a.gateway, a.engine, a.read, "sent to an engine that no list named");
          continue;
        }
        checked(3);
        if (hung(a.engine, a.read - 10 * kSlack, a.read)) continue;  // it may have been sent long before
        const auto last = a.read - day_.settings.drain_grace_period.count() - slack_;
        Nanos unfit = kNever;
        for (const auto& told : states->second) {
          if (told.at > a.read) break;
          unfit = told.state == 1 ? kNever : std::min(unfit, told.at);
        }
        if (unfit < last)
          broke(3, id, a.gateway, a.engine, a.read,
                fmt::format("{:.0f} ms after it was told", static_cast<double>(a.read - unfit) / 1e6));
      }
  }

  // Rule 4: all that reached a cold engine, against what it could do at that moment.
  void cold_starts() {
    const double window = std::chrono::duration<double>(day_.settings.slow_start_overload_window).count();
    if (day_.settings.slow_start_overload_ratio <= 0) return;
    for (const auto& [engine, sends] : cold_) {
      double sum = 0;
      std::size_t first = 0;
      for (std::size_t i = 0; i < sends.size(); ++i) {
        checked(4);
        sum += sends[i].work;
        while (sends[first].at <= sends[i].at - day_.settings.slow_start_overload_window.count())
          sum -= sends[first++].work;
        const double able =
            day_.settings.slow_start_overload_ratio * day_.traits.cores * sends[i].warmth * window;
        audit_.highest_cold_load_ratio = std::max(audit_.highest_cold_load_ratio, sum / able);
        if (sum > able + sends[i].work)
          broke(4, "", "", engine, sends[i].at, "more than tips a cold engine over");
      }
    }
  }

  // Rule 5: of two requests of a key that one router took in turn, the later goes out once the earlier is
  // over.
  void order() {
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Nanos, std::string>>> turns;
    for (const auto& [id, asked] : asked_)
      if (const auto* set = cls(asked.cls); set != nullptr && set->ordered_by_key && asked.key != 0)
        turns[{asked.gateway, asked.key}].emplace_back(asked.sent, id);
    for (auto& [key, turn] : turns) {
      std::ranges::sort(turn);
      for (std::size_t j = 1; j < turn.size(); ++j)
        for (std::size_t i = j > 20 ? j - 20 : 0; i < j; ++i) {
          const auto& earlier = turn[i];
          const auto& later = turn[j];
          if (later.first < earlier.first + kSlack) continue;  // which came first is not told by sockets
          const auto& ran = attempts(later.second);
          if (ran.empty()) continue;
          checked(5);
          if (down(key.first, earlier.first, ran[0].read)) continue;  // another life of the router
          for (const auto& a : attempts(earlier.second)) {
            const auto over = std::min(a.end, asked_.at(earlier.second).end);
            if (over > ran[0].read + 2 * slack_ && a.read < ran[0].read &&
                !hung(a.engine, a.read, ran[0].read))
              broke(5, later.second, key.first, ran[0].engine, ran[0].read,
                    "out while the earlier " + earlier.second + " was");
            if (a.read > ran[0].read + slack_ && !hung(a.engine, a.read - 10 * slack_, a.read))
              broke(5, later.second, key.first, ran[0].engine, ran[0].read,
                    "out before the earlier " + earlier.second);
          }
        }
    }
  }

  // Rule 6.
  void placement() {
    const auto among = [](const std::optional<std::vector<std::uint16_t>>& allowed,
                          const std::vector<std::string>& names, const std::string& name) {
      return !allowed || std::ranges::any_of(*allowed, [&](std::uint16_t n) { return names[n] == name; });
    };
    for (const auto& [id, tries] : attempts_) {
      const auto found = asked_.find(id);
      const auto* set = found == asked_.end() ? nullptr : cls(found->second.cls);
      if (set == nullptr || (!set->allowed_zones && !set->allowed_machine_types)) continue;
      for (const auto& a : tries) {
        checked(6);
        const auto& [zone, kind] = places_[a.engine];
        if (!among(set->allowed_zones, day_.names.zones, zone) ||
            !among(set->allowed_machine_types, day_.names.machine_types, kind))
          broke(6, id, a.gateway, a.engine, a.read, "on an engine that its class does not allow");
      }
    }
  }

  // Rule 7. What engines saw is at most what was sent; a dial that failed is not seen by any socket here.
  void budget() {
    if (!day_.settings.retry_budget) return;
    const auto& budget = *day_.settings.retry_budget;
    std::map<std::string, std::vector<Nanos>> taken, further;
    for (const auto& [id, asked] : asked_) taken[asked.gateway].push_back(asked.sent);
    for (const auto& [id, tries] : attempts_)
      for (std::size_t i = 1; i < tries.size(); ++i) further[tries[i].gateway].push_back(tries[i].read);
    for (auto& [gateway, times] : further) {
      std::ranges::sort(times);
      auto& came = taken[gateway];
      std::ranges::sort(came);
      for (std::size_t i = 0; i < times.size(); ++i) {
        checked(7);
        const auto from = times[i] - budget.window.count();
        const auto within = static_cast<double>(std::ranges::upper_bound(times, times[i]) -
                                                std::ranges::upper_bound(times, from + 2 * slack_));
        const auto base = static_cast<double>(std::ranges::upper_bound(came, times[i]) -
                                              std::ranges::upper_bound(came, from - 2 * slack_));
        if (within > std::floor(budget.min_retries + budget.retries_per_request * base))
          broke(7, "", gateway, "", times[i],
                fmt::format("{:.0f} further attempts for {:.0f} requests", within, base));
      }
    }
  }

  void worth() {
    for (const auto& set : day_.settings.classes) audit_.classes.push_back({set.name});
    for (const auto& tenant : day_.settings.tenants) audit_.tenants.push_back({tenant.name});
    for (const auto& [id, tries] : attempts_) {
      const auto asked = asked_.find(id);
      const auto* const found = asked == asked_.end() ? nullptr : cls(asked->second.cls);
      if (found == nullptr) continue;
      double used = 0;
      for (const auto& a : tries)
        if (a.began && a.end != kNever) used += static_cast<double>(a.end - a.read) / 1e9 * found->threads;
      audit_.classes[static_cast<std::size_t>(found - day_.settings.classes.data())].engine_s += used;
      if (asked->second.tenant < audit_.tenants.size()) audit_.tenants[asked->second.tenant].engine_s += used;
    }
    std::map<std::string, std::vector<const Asked*>> asks;
    for (const auto& [id, asked] : asked_) asks[asked.first].push_back(&asked);
    for (auto& [first, tries] : asks) {
      std::ranges::sort(tries, {}, &Asked::sent);
      const auto& asked = *tries.front();
      const auto found = std::ranges::find(day_.settings.classes, asked.cls, &ClassSettings::name);
      if (found == day_.settings.classes.end()) continue;
      std::vector<WorthRow*> rows{
          &audit_.classes[static_cast<std::size_t>(found - day_.settings.classes.begin())]};
      if (asked.tenant < audit_.tenants.size()) rows.push_back(&audit_.tenants[asked.tenant]);
      std::optional<Time> took;
      bool refused = false, failed = false;
      for (const auto* one : tries)
        for (const auto& answer : one->answers) {
          if (answer.status == 200 && !took) took = Time(answer.at - asked.sent);
          refused = refused || answer.outcome == "refused";
          failed = failed || answer.outcome == "failed";
        }
      const double share = share_of_worth(*found, asked.work_ms, took);
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
  Nanos slack_ = kSlack;  // of what went between routers and engines: what is lost is sent again, later
  bool warm_ = true;
  std::set<std::string> names_;
  std::map<std::string, unsigned> kills_;
  std::map<std::string, std::vector<Nanos>> engine_deaths_;
  std::map<std::string, std::vector<Span>> stalled_, killed_, hung_;
  std::map<std::string, Asked> asked_;
  std::map<std::string, std::vector<Attempt>> attempts_;
  std::map<std::string, std::map<std::string, std::vector<Told>>> told_;  // by gateway and engine
  std::map<std::string, std::pair<std::string, std::string>> places_;     // zone and kind
  std::map<std::string, std::vector<Cold>> cold_;
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
  Reader reader(folder, result);
  reader.check();
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
