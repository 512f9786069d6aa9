#include "explore/properties.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace heronwell::explore {

std::string engine_name(std::size_t engine) { return fmt::format("engine-{}", engine + 1); }

Properties::Properties(std::size_t engines, Time drain_grace, Time window, unsigned copies)
    : drain_grace_(drain_grace),
      window_(window),
      copies_(copies),
      drain_told_(engines),
      drain_known_(engines) {}

void Properties::expect(const Asked& asked) {
  requests_[asked.id].asked = asked;
  for (const auto& id : asked.graphql.empty() ? std::vector{asked.id} : asked.statements) {
    auto& statement = statements_[id];
    statement.cls = asked.graphql.empty() ? asked.cls : id.starts_with('g') ? "load" : "lookup";
    statement.rows = asked.rows;
    statement.data_group = asked.data_group;
    statement.order_key = asked.order_key;
    statement.of.push_back(asked.id);
  }
}

void Properties::fails(std::string property, std::string detail) {
  if (!broken_) broken_ = Broken{std::move(property), std::move(detail)};
}

// ---- at an engine --------------------------------------------------------------------------------------
void Properties::statement_sent(const Sent& sent) {
  const auto to = fmt::format("{} went to {}", sent.id, engine_name(sent.engine));
  if (!sent.running.empty() || sent.answer_on_its_way)
    fails("no connection is used again before ReadyForQuery",
          fmt::format("{} while {} ran there", to, sent.running));
  const auto found = statements_.find(sent.id);
  if (found == statements_.end()) {
    ++probes_;
    return;
  }
  auto& statement = found->second;
  if (std::ranges::all_of(statement.of, [this](const auto& r) { return requests_.at(r).status.has_value(); }))
    fails("nothing is sent after the final answer", to);
  for (const auto& [id, other] : statements_) {
    const bool beside = &other != &statement && !statement.order_key.empty();
    if (beside && other.order_key == statement.order_key &&
        std::ranges::any_of(other.attempts, &Attempt::out))
      fails("no two statements of one order key are out at once", fmt::format("{} while {} was out", to, id));
  }
  const auto out = std::ranges::count_if(statement.attempts, &Attempt::out);
  for (const auto& attempt : statement.attempts) {
    const auto before = engine_name(attempt.engine);
    if (attempt.out && out >= copies_)
      fails("no two attempts of one request are out at once",
            fmt::format("{} while it was out on {}", to, before));
    if (attempt.proven_unrun) continue;
    if (statement.cls == "load")
      fails("an unsafe statement is sent again only if no attempt ran",
            fmt::format("{} though it may have run on {}", to, before));
    if (statement.cls == "booking" && sent.at > attempt.at + window_)
      fails("a keyed statement is repeated only within its window",
            fmt::format("{} {} ms after the attempt before", to, milliseconds(sent.at - attempt.at)));
  }
  const auto told = drain_told_.at(sent.engine);
  if (told && (drain_known_.at(sent.engine) || sent.at > *told + drain_grace_))
    fails("no engine is sent to once it is known to be draining", to);
  if (std::ranges::any_of(statement.of, [&](const auto& r) { return sent.at >= requests_.at(r).deadline(); }))
    fails("nothing is sent after the deadline", to);
  statement.attempts.push_back({sent.wire, sent.engine, sent.at, true, false});
  ++statement.ran;
}

void Properties::never_began(const std::string& id) {
  const auto found = statements_.find(id);
  if (found != statements_.end() && found->second.ran > 0) --found->second.ran;
}

void Properties::begun_for_nobody(const std::string& id) {
  fails("nothing is begun for a client whose end was read", id);
}

void Properties::written_past_end(std::uint16_t engine) {
  fails("nothing is written to a connection whose end has come", engine_name(engine) + " had closed it");
}

void Properties::written_after_rejection(std::uint16_t engine) {
  fails("no statement is written on after its end", engine_name(engine) + " had rejected a part of it");
}

void Properties::cancel_met(std::string_view meant, std::string_view met, bool same) {
  if (!same) fails("no cancel hits another statement", fmt::format("one meant for {} hit {}", meant, met));
}

// ---- what has reached the router -----------------------------------------------------------------------
void Properties::request_arrived(const std::string& id, Time at) {
  auto& arrived = requests_.at(id).arrived;
  if (!arrived) arrived = at;
}

void Properties::attempt_over(const std::string& id, std::uint16_t wire, bool proven_unrun) {
  const auto found = statements_.find(id);
  if (found == statements_.end()) return;
  for (auto& attempt : found->second.attempts)
    if (attempt.wire == wire && attempt.out) attempt.out = false, attempt.proven_unrun = proven_unrun;
}

void Properties::wire_lost(std::uint16_t wire) {
  for (auto& [id, statement] : statements_)
    for (auto& attempt : statement.attempts)
      if (attempt.wire == wire) attempt.out = false;
}

void Properties::drain_told(std::uint16_t engine, Time at) { drain_told_.at(engine) = at; }
void Properties::drain_over(std::uint16_t engine) { drain_told_.at(engine).reset(); }
void Properties::drain_known(std::uint16_t engine, bool draining) { drain_known_.at(engine) = draining; }
void Properties::router_died(const std::string& id) { requests_.at(id).died = true; }

void Properties::end_told_again(unsigned attempt) {
  fails("the end of an attempt is told once", fmt::format("attempt {}", attempt));
}

// ---- at a client ---------------------------------------------------------------------------------------
void Properties::answer_unreadable(std::size_t client) {
  fails("one final answer", fmt::format("client {} reads no HTTP", client + 1));
}
void Properties::answer_unasked(std::size_t client) {
  fails("one final answer", fmt::format("client {} got one too many", client + 1));
}

void Properties::answer_begun(const std::string& id, int status, Time at) {
  auto& request = requests_.at(id);
  request.status = status;
  if (!request.arrived && status != 408) fails("one final answer", id + " was answered before it was whole");
  if (!request.asked.graphql.empty()) return;  // told in the body
  if (status == 200 && at > request.deadline()) fails("no answer is served after the deadline", id);
  const bool unrun = std::ranges::all_of(statements_.at(id).attempts, &Attempt::proven_unrun);
  if (request.asked.cls == "load" && status == 503 && !unrun)
    fails("an unsafe request is refused only if no attempt ran", id);
}

void Properties::answer_whole(const std::string& id, std::string_view body, Time at) {
  auto& request = requests_.at(id);
  request.whole = true;
  if (!request.asked.graphql.empty()) {
    if (at > request.deadline() && body.find("\"errors\"") == std::string_view::npos)
      fails("no answer is served after the deadline", id);
  } else if (*request.status == 200 && body.find(id) == std::string_view::npos) {
    fails("answers keep the order of their requests", id + " got another's answer");
  }
}

// ---- the books -----------------------------------------------------------------------------------------
void Properties::books(std::size_t host, std::size_t shards, const std::vector<std::string>& gone) {
  if (host != shards)
    fails("the books of host and shards agree", fmt::format("{} requests here, {} there", host, shards));
  std::size_t owed = 0;
  for (const auto& [id, request] : requests_)
    if (request.arrived && !request.whole && !request.died && std::ranges::find(gone, id) == gone.end())
      owed += request.asked.graphql.empty() ? 1 : request.asked.statements.size();
  if (shards > owed)
    fails("a request whose client has gone is given up at once",
          fmt::format("{} are held, {} owed", shards, owed));
}

void Properties::end(const Left& left, const std::vector<std::string>& excused) {
  for (const auto& [id, request] : requests_)
    if (request.arrived && !request.whole && !request.died && std::ranges::find(excused, id) == excused.end())
      fails("each request gets its final answer", id + " got none");
  if (left.open + left.remembered + left.exchanges + left.attempts + left.cancels + left.queued +
          left.running !=
      0)
    fails("nothing is remembered after the last request",
          fmt::format("host: {} open, {} remembered; shards: {} exchanges, {} attempts, {} cancel requests; "
                      "module: {} queued, {} threads running",
                      left.open, left.remembered, left.exchanges, left.attempts, left.cancels, left.queued,
                      left.running));
}

unsigned Properties::rows(const std::string& id) const {
  const auto found = statements_.find(id);
  return found == statements_.end() ? 1 : found->second.rows;
}

unsigned Properties::data_group(const std::string& id) const {
  const auto found = statements_.find(id);
  return found == statements_.end() ? 0 : found->second.data_group;
}

bool Properties::unsafe(const std::string& id) const {
  const auto found = statements_.find(id);
  return found != statements_.end() && found->second.cls == "load";
}

void Properties::digest(std::string& out) const {
  for (const auto& [id, request] : requests_) {
    put(out, request.arrived.value_or(Time::zero()));
    put(out, static_cast<std::uint64_t>(request.status.value_or(0)) << 8 | (request.whole ? 1U : 0U) |
                 (request.died ? 2U : 0U));
  }
  for (const auto& [id, statement] : statements_) {
    put(out, statement.attempts.size() << 8 | statement.ran);
    for (const auto& a : statement.attempts) {
      put(out, static_cast<std::uint64_t>(a.engine) << 8 | (a.out ? 1U : 0U) | (a.proven_unrun ? 2U : 0U));
      put(out, a.at);
    }
  }
  for (std::size_t e = 0; e < drain_told_.size(); ++e) {
    put(out, drain_told_[e].value_or(Time::zero()));
    put(out, drain_known_[e] ? 1U : 0U);
  }
}

std::string Properties::outcome() const {
  std::string out;
  for (const auto& [id, request] : requests_)
    out += fmt::format("{} answer {}{}; ", id, request.status.value_or(0), request.whole ? "" : " cut");
  for (const auto& [id, statement] : statements_)
    out += fmt::format("{} sent {} ran {}; ", id, statement.attempts.size(), statement.ran);
  if (probes_ > 0) out += "probed; ";
  return out;
}

}  // namespace heronwell::explore
