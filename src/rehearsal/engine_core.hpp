// EngineCore is the stand-in SQL engine without its sockets: it speaks the PostgreSQL protocol and computes
// the times of statements with an EngineModel. The stand-in process connects it to sockets, the emulator to
// emulated connections. It reads only one comment of a statement, which says what the statement costs:
//
//   select ... /*hw id=c0-17 work_ms=120 threads=2 io=0.3 need_mb=80 group=7 holds=0 waits=1 rows=3 bytes=20
//                  error=42P01 */
//
// A value $1, $2 ... stands for that bound parameter. Statements of the extended protocol may also have:
//   columns=id:23,name:25=Gate_A|Gate_B,shop:25=each   columns with the object ids of their types and, after
//                                                      =, their values; "none": a statement without rows
//   each=$1                                            `rows` rows for each element of an array parameter
//   tag=INSERT                                         the word of the command tag
//
// The engine answers statements without this comment at once with a row "1".
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

// Faults that are set by command. Values without another unit are probabilities from 0 to 1.
struct EngineFaults {
  double slow = 1;          // factor on the duration of statements
  double swallow = 0;       // does the work, sends no answer
  double fail = 0;          // answers 58000 at once
  double reset_before = 0;  // resets the connection before the work begins
  double reset_after = 0;   // resets the connection after the work instead of answering
  double turn_away = 0;     // answers 53300; the work does not begin
  double cut = 0;           // resets the connection between the last row and the end of the answer
  Time late_loads{};        // age of the loads that it reports
  Time slow_start{};        // delay of the answer to the start-up message
};

struct EngineOptions {
  std::string name = "engine";
  std::uint16_t port = 0;  // 0: any
  Traits traits;
  bool warm = true;
  std::uint64_t seed = 1;
  bool reports_load = true, reports_cost = true;
  Time progress_interval{};  // 0: no progress notices
};

// The clock and timers that the core runs on. None of these calls may call the core before it returns.
class EngineEnvironment {
 public:
  virtual ~EngineEnvironment() = default;
  [[nodiscard]] virtual Time now() = 0;
  enum class TimerKind { work, progress };
  // Calls on_timer() at that time and replaces the timer of this kind that was set before; Time::max():
  // never.
  virtual void set_timer(TimerKind which, Time at) = 0;
  virtual void after(Time pause, std::function<void()> then) = 0;
  virtual void stopped_listening() = 0;  // the engine crashed or was killed
};

// A client's connection to the engine.
class EngineLink {
 public:
  virtual ~EngineLink() = default;
  virtual void send(std::string bytes, std::function<void()> then) = 0;  // calls `then` once they are sent
  virtual void send_notice(std::string_view bytes) = 0;  // only while nothing else is being sent
  virtual void close(bool reset) = 0;
  // A link may take messages in place of bytes, one statement each: notices while the statement runs, and its
  // end. `code` is the SQLSTATE of a notice or an error; an empty one in ended() means a complete answer.
  [[nodiscard]] virtual bool uses_messages() const { return false; }
  virtual void notice(std::string_view /*code*/, std::string /*text*/) {}
  virtual void ended(std::string /*load*/, std::string_view /*code*/, std::string /*cost*/) {}
};

class EngineCore {
 public:
  struct Session;
  struct Request;
  using SessionPtr = std::shared_ptr<Session>;
  // `environment` and `recorder` must outlive it.
  EngineCore(EngineEnvironment& environment, EngineOptions options, Recorder& recorder);
  ~EngineCore();

  void listening(std::uint16_t port);  // writes the port to the record
  void start();                        // from here on it sets timers
  [[nodiscard]] SessionPtr open(std::shared_ptr<EngineLink> link);
  void received(SessionPtr session, std::string_view bytes);
  void connection_closed(SessionPtr session);
  // Executes one statement of a link that takes messages.
  [[nodiscard]] SessionPtr execute_message(std::shared_ptr<EngineLink> link, const std::string& gateway,
                                           std::string statement, double grant_mb, unsigned priority);
  void cancel(const SessionPtr& session);
  void on_timer(EngineEnvironment::TimerKind which);

  void faults(const EngineFaults& faults);
  std::string command(const std::string& line);  // as Engine::command()
  void kill();
  [[nodiscard]] bool crashed() const { return model_.crashed(); }
  [[nodiscard]] std::uint64_t began() const { return began_; }

 private:
  void record(std::string_view event, std::string_view fields);
  void record(std::string_view event, const Session& session, std::string_view id);
  bool chance(double part);
  static bool read_message(Session& session, const sql::Message& message);
  void answer_startup(const SessionPtr& session, const sql::Startup& startup);
  void cancel(const SessionPtr& session, const sql::Startup& startup);
  void next_statement(const SessionPtr& session);
  void apply_setting(const SessionPtr& session, const std::string& statement);
  void reject(const SessionPtr& session);
  void fail(const SessionPtr& session, std::string_view code, std::string_view message);
  std::string load_report();
  void put_load_report(std::string& out);
  void end_message(const SessionPtr& session, std::string_view code, std::string cost);
  void send_answer(const SessionPtr& session);
  void send_rows(const SessionPtr& session, std::string out);
  // Calls `then` once the bytes are sent, unless the connection has closed.
  void send(const SessionPtr& session, std::string bytes, std::function<void()> then);
  void close(SessionPtr session, bool reset);
  void finish_jobs(Time now);
  void schedule_work();
  void schedule_progress();

  EngineEnvironment& environment_;
  EngineOptions options_;
  Recorder& recorder_;
  EngineModel model_;
  EngineFaults faults_;
  pcg64 random_, secret_source_;
  bool listening_ = true;
  std::map<std::uint64_t, SessionPtr> sessions_;  // by number
  std::map<std::uint64_t, SessionPtr> jobs_;      // by job id
  std::deque<std::pair<Time, std::string>> load_reports_;
  std::uint64_t last_job_id_ = 0, began_ = 0, last_session_number_ = 0;
  std::uint32_t last_process_number_ = 0;
};

}  // namespace heronwell::rehearsal
