// The stand-in SQL engine without its sockets: the PostgreSQL protocol round an EngineModel. Bytes and
// moments in; bytes, closes and records out. The stand-in process gives it sockets, the emulator wires. What
// a statement costs stands in a comment of its own, which is all that it reads of it:
//
//   select ... /*hw id=c0-17 work_ms=120 threads=2 io=0.3 need_mb=80 group=7 holds=0 waits=1 rows=3 bytes=20
//                  error=42P01 */
//
// A value that is $1, $2 ... is that bound parameter's. For statements by the extended protocol also:
//   columns=id:23,name:25=Gate_A|Gate_B,shop:25=each   columns with their types' object ids and, after
//                                                      =, their values; "none": a statement without rows
//   each=$1                                            rows for each element of an array parameter
//   tag=INSERT                                         of the command tag
//
// Statements without one are answered at once with a row "1".
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

#include "rehearsal/model.hpp"
#include "rehearsal/record.hpp"
#include "sql/protocol.hpp"

namespace heronwell::rehearsal {

// What goes wrong on command; parts are chances from 0 to 1.
struct EngineFaults {
  double slow = 1;          // times slower
  double swallow = 0;       // does the work, sends no answer
  double fail = 0;          // answers 58000 at once
  double reset_before = 0;  // closes instead of beginning
  double reset_after = 0;   // closes after the work, instead of answering
  double turn_away = 0;     // answers 53300, never began
  double cut = 0;           // closes between the last row and the end of the answer
  Time late_loads{};        // loads told are so old
  Time slow_start{};        // the start-up is answered so late
};

struct EngineOptions {
  std::string name = "engine";
  std::uint16_t port = 0;  // 0: any
  Traits traits;
  bool warm = true;
  std::uint64_t seed = 1;
  bool reports_load = true, reports_cost = true;
  Time progress_interval{};  // 0: no notices
};

// What the core needs of the world outside. No call comes back from within one of these.
class EngineEnvironment {
 public:
  virtual ~EngineEnvironment() = default;
  [[nodiscard]] virtual Time now() = 0;
  enum class TimerKind { work, progress };
  // Calls on_timer() at that moment, in place of the one set before; Time::max(): never.
  virtual void set_timer(TimerKind which, Time at) = 0;
  virtual void after(Time pause, std::function<void()> then) = 0;
  virtual void stopped_listening() = 0;  // it has tipped over, or was killed: nobody listens any more
};

// A connection as its other side sees it.
class EngineLink {
 public:
  virtual ~EngineLink() = default;
  virtual void send(std::string bytes, std::function<void()> then) = 0;  // then: once they have gone out
  virtual void send_notice(std::string_view bytes) = 0;                  // while nothing else is being sent
  virtual void close(bool reset) = 0;
  // For a link that takes messages in place of bytes, one statement each: what is told while it runs, and its
  // end. `code`: of an error; empty: the whole answer.
  [[nodiscard]] virtual bool uses_messages() const { return false; }
  virtual void notice(std::string_view /*code*/, std::string /*text*/) {}
  virtual void ended(std::string /*load*/, std::string_view /*code*/, std::string /*cost*/) {}
};

class EngineCore {
 public:
  struct Session;
  struct Request;
  using SessionPtr = std::shared_ptr<Session>;
  // `environment` and `recorder` outlive it.
  EngineCore(EngineEnvironment& environment, EngineOptions options, Recorder& recorder);
  ~EngineCore();

  void listening(std::uint16_t port);  // to be recorded
  void start();                        // the world may be asked to wake it from here on
  [[nodiscard]] SessionPtr open(std::shared_ptr<EngineLink> link);
  void received(SessionPtr session, std::string_view bytes);
  void connection_closed(SessionPtr session);
  // For links that take messages.
  [[nodiscard]] SessionPtr execute_message(std::shared_ptr<EngineLink> link, const std::string& gateway,
                                           std::string statement, double grant_mb, unsigned priority);
  void cancel(const SessionPtr& session);
  void on_timer(EngineEnvironment::TimerKind which);

  void faults(const EngineFaults& faults);
  std::string command(const std::string& line);  // as Engine::command()
  void kill();
  [[nodiscard]] bool crashed() const { return model_.crashed(); }
  [[nodiscard]] std::uint64_t began() const { return begun_; }

 private:
  void record(std::string_view event, std::string_view fields);
  void record(std::string_view event, const Session& session, std::string_view id);
  bool chance(double part);
  static bool take(Session& session, const sql::Message& message);
  void greet(const SessionPtr& c, const sql::Startup& startup);
  void cancel(const SessionPtr& c, const sql::Startup& startup);
  void next_statement(const SessionPtr& c);
  void set(const SessionPtr& c, const std::string& statement);
  void turn_away(const SessionPtr& c);
  void fail(const SessionPtr& c, std::string_view code, std::string_view message);
  std::string load_text();
  void tell_load(std::string& out);
  void answer(const SessionPtr& c, std::string_view code, std::string cost);
  void finish(const SessionPtr& c);
  void rows(const SessionPtr& c, std::string out);
  void send(const SessionPtr& c, std::string bytes, std::function<void()> then);  // then: if it is not closed
  void close(SessionPtr c, bool reset);
  void settle(Time now);
  void arm();
  void note();

  EngineEnvironment& environment_;
  EngineOptions options_;
  Recorder& recorder_;
  EngineModel model_;
  EngineFaults faults_;
  pcg64 random_, secrets_;
  bool listens_ = true;
  std::map<std::uint64_t, SessionPtr> sessions_;  // by number
  std::map<std::uint64_t, SessionPtr> jobs_;
  std::deque<std::pair<Time, std::string>> loads_;
  std::uint64_t ids_ = 0, begun_ = 0, numbers_ = 0;
  std::uint32_t processes_ = 0;
};

}  // namespace heronwell::rehearsal
