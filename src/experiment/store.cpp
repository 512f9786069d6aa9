#include "experiment/store.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sqlite3.h>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace heronwell::experiment {
namespace {

constexpr int kLayout = 1;                // user_version
constexpr int kApplication = 0x4845524E;  // application_id: "HERN"

constexpr const char* kSchema = R"(
create table about (key text primary key, value text not null);
create table run (id integer primary key, site text not null, policy text not null, point text not null, x real not null,
  seed integer not null, bound real not null, events integer not null, virtual_s real not null, real_s real not null,
  unique (site, policy, point, seed));
create table tally (run integer not null references run, kind text not null, name text not null, place integer not null,
  asked integer not null, in_time integer not null, late integer not null, refused integer not null, failed integer not null,
  lost integer not null, worth_asked real not null, worth_served real not null);
create table second (run integer not null references run, second integer not null, worth_asked real not null, worth_served real not null);
create table answer_time (run integer not null references run, class integer not null, upto_ms real not null, answers integer not null);
create table trouble (run integer not null references run, kind text not null, at_s real not null, for_s real not null);
create table left_over (run integer not null references run, what text not null);
create index tally_of on tally (run);
create index second_of on second (run);
create index answer_time_of on answer_time (run);
create index trouble_of on trouble (run);
create index left_over_of on left_over (run);
)";

}  // namespace

class Store::Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK)
      throw StoreError(sqlite3_errmsg(db));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  template <class... Values>
  Statement& with(const Values&... values) {
    sqlite3_reset(statement_);
    at_ = 0;
    (bind(values), ...);
    return *this;
  }
  bool next() {  // false: no more rows
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) throw StoreError(sqlite3_errmsg(db_));
    return code == SQLITE_ROW;
  }
  [[nodiscard]] std::string text(int column) const {
    const auto* got = sqlite3_column_text(statement_, column);
    return got == nullptr ? "" : reinterpret_cast<const char*>(got);
  }
  [[nodiscard]] double real(int column) const { return sqlite3_column_double(statement_, column); }
  [[nodiscard]] std::uint64_t whole(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }

 private:
  void bind(const std::string& value) {
    sqlite3_bind_text(statement_, ++at_, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
  }
  void bind(double value) { sqlite3_bind_double(statement_, ++at_, value); }
  void bind(std::uint64_t value) { sqlite3_bind_int64(statement_, ++at_, static_cast<sqlite3_int64>(value)); }

  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int at_ = 0;
};

Key key_of(const Plan& plan, const Run& run) {
  return {plan.sites[run.site].name, std::string(emulator::name_of(run.policy)), point_of(plan, run),
          run.seed};
}

Store::Store(const std::string& file, Mode mode) : file_(file) {
  try {
    const int flags = SQLITE_OPEN_READWRITE | (mode == Mode::make ? SQLITE_OPEN_CREATE : 0);
    if (sqlite3_open_v2(file.c_str(), &db_, flags, nullptr) != SQLITE_OK)
      throw StoreError(sqlite3_errmsg(db_));
    sqlite3_busy_timeout(db_, 5000);
    const auto number = [this](const char* sql) {
      Statement get(db_, sql);
      get.next();
      return get.whole(0);
    };
    const bool fresh = number("select count(*) from sqlite_master") == 0;
    const auto layout = number("pragma user_version");
    if (!fresh && number("pragma application_id") != kApplication)
      throw StoreError("no results of experiments");
    if (!fresh && layout > kLayout)
      throw StoreError(fmt::format("its layout is {}, this program knows {}", layout, kLayout));
    execute("pragma journal_mode = wal");
    if (!fresh) return;
    execute("begin immediate");
    execute(kSchema);
    execute(fmt::format("pragma user_version = {}", kLayout).c_str());
    execute(fmt::format("pragma application_id = {}", kApplication).c_str());
    execute("commit");
  } catch (const StoreError& error) {
    sqlite3_close(db_);
    db_ = nullptr;
    throw StoreError(file + ": " + error.what());
  }
}

Store::~Store() { sqlite3_close(db_); }

void Store::execute(const char* sql) const {
  if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) throw StoreError(sqlite3_errmsg(db_));
}

std::string Store::about(const std::string& key) const {
  Statement get(db_, "select value from about where key = ?");
  get.with(key);
  return get.next() ? get.text(0) : "";
}

std::vector<std::string> Store::policies() const {
  std::istringstream words(about("policies"));
  return {std::istream_iterator<std::string>(words), {}};
}

void Store::begin(const Plan& plan, const std::string& build) {
  const auto had = about("plan");
  if (!had.empty()) {
    if (had != plan.text) throw StoreError(file_ + ": holds the results of another plan");
    if (about("build") != build)
      throw StoreError(file_ + ": holds the results of another build, " + about("build") + ", this is " +
                       build);
    return;
  }
  std::vector<std::string> policies;
  policies.reserve(plan.policies.size());
  for (const auto policy : plan.policies) policies.emplace_back(emulator::name_of(policy));
  execute("begin immediate");
  Statement put(db_, "insert into about values (?, ?)");
  const std::vector<std::pair<std::string, std::string>> facts{
      {"plan", plan.text},
      {"build", build},
      {"name", plan.name},
      {"about", plan.about},
      {"fidelity", plan.fast ? "fast" : "full"},
      {"axis", plan.axes.empty() ? "" : plan.axes.front().name},
      {"policies", fmt::format("{}", fmt::join(policies, " "))}};
  for (const auto& [key, value] : facts) put.with(key, value).next();
  execute("commit");
}

std::vector<Key> Store::done() const {
  std::vector<Key> keys;
  Statement get(db_, "select site, policy, point, seed from run order by site, policy, point, seed");
  while (get.next()) keys.push_back({get.text(0), get.text(1), get.text(2), get.whole(3)});
  return keys;
}

void Store::add(const Row& row) {
  execute("begin immediate");
  try {
    Statement run(db_, "insert into run values (null, ?, ?, ?, ?, ?, ?, ?, ?, ?)");
    run.with(row.key.site, row.key.policy, row.key.point, row.x, row.key.seed, row.score.bound, row.events,
             row.virtual_s, row.real_s)
        .next();
    const auto id = static_cast<std::uint64_t>(sqlite3_last_insert_rowid(db_));
    Statement tally(db_, "insert into tally values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)");
    const auto put = [&](const std::string& kind, const Tally& t, std::size_t place) {
      tally
          .with(id, kind, t.name, std::uint64_t{place}, t.asked, t.in_time, t.late, t.refused, t.failed,
                t.lost, t.worth_asked, t.worth_served)
          .next();
    };
    const auto& score = row.score;
    put("all", score.all, 0);
    for (std::size_t i = 0; i < score.classes.size(); ++i) put("class", score.classes[i], i);
    for (std::size_t i = 0; i < score.tenants.size(); ++i) put("tenant", score.tenants[i], i);
    Statement second(db_, "insert into second values (?, ?, ?, ?)");
    for (std::size_t i = 0; i < score.seconds.size(); ++i)
      second.with(id, std::uint64_t{i}, score.seconds[i].worth_asked, score.seconds[i].worth_served).next();
    Statement time(db_, "insert into answer_time values (?, ?, ?, ?)");
    for (std::size_t c = 0; c < score.times.size(); ++c)
      for (const auto& bin : score.times[c]) time.with(id, std::uint64_t{c}, bin.upto_ms, bin.answers).next();
    Statement trouble(db_, "insert into trouble values (?, ?, ?, ?)");
    for (const auto& t : row.troubles) trouble.with(id, t.kind, t.at_s, t.for_s).next();
    Statement left(db_, "insert into left_over values (?, ?)");
    for (const auto& what : row.left) left.with(id, what).next();
    execute("commit");
  } catch (...) {
    sqlite3_exec(db_, "rollback", nullptr, nullptr, nullptr);
    throw;
  }
}

std::vector<Row> Store::rows() const {
  std::vector<Row> rows;
  Statement run(
      db_,
      "select id, site, policy, point, seed, x, bound, events, virtual_s, real_s from run order by site, "
      "x, point, policy, seed");
  Statement tally(
      db_,
      "select kind, name, asked, in_time, late, refused, failed, lost, worth_asked, worth_served from "
      "tally where run = ? order by kind, place");
  Statement second(db_, "select worth_asked, worth_served from second where run = ? order by second");
  Statement time(db_,
                 "select class, upto_ms, answers from answer_time where run = ? order by class, upto_ms");
  Statement trouble(db_, "select kind, at_s, for_s from trouble where run = ? order by at_s, kind");
  Statement left(db_, "select what from left_over where run = ?");
  while (run.next()) {
    Row row;
    const auto id = run.whole(0);
    row.key = {run.text(1), run.text(2), run.text(3), run.whole(4)};
    row.x = run.real(5);
    row.score.bound = run.real(6);
    row.events = run.whole(7);
    row.virtual_s = run.real(8);
    row.real_s = run.real(9);
    for (tally.with(id); tally.next();) {
      Tally t{tally.text(1),  tally.whole(2), tally.whole(3), tally.whole(4), tally.whole(5),
              tally.whole(6), tally.whole(7), tally.real(8),  tally.real(9)};
      const auto kind = tally.text(0);
      if (kind == "all")
        row.score.all = std::move(t);
      else
        (kind == "class" ? row.score.classes : row.score.tenants).push_back(std::move(t));
    }
    for (second.with(id); second.next();) row.score.seconds.push_back({second.real(0), second.real(1)});
    row.score.times.resize(row.score.classes.size());
    for (time.with(id); time.next();)
      if (time.whole(0) < row.score.times.size())
        row.score.times[time.whole(0)].push_back({time.real(1), time.whole(2)});
    for (trouble.with(id); trouble.next();)
      row.troubles.push_back({trouble.text(0), trouble.real(1), trouble.real(2)});
    for (left.with(id); left.next();) row.left.push_back(left.text(0));
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace heronwell::experiment
