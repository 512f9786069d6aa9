// Stand-ins for a case of the review: event bus, SQL engine and client of the platform's protocol, the process
// of a router, and the record of what was sent, answered and run. Everything listens on 127.0.0.1 and on ports
// that the system chooses. All times are milliseconds of the Unix clock.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// ---- time, record, sockets -------------------------------------------------------------------------------
double now_ms();
void sleep_ms(double ms);

// Appends one line to the record. The time since the start of the case is put in front.
void open_record(const std::string& path);
void record(const std::string& line);
std::string text(const char* format, ...) __attribute__((format(printf, 1, 2)));

int listen_on_loopback(std::uint16_t& port, int segment_bytes = 0, int receive_buffer_bytes = 0);
int connect_to(std::uint16_t port, int receive_buffer = 0);  // returns -1 if the connection fails
bool send_all(int socket, const std::string& bytes);

// ---- event bus -------------------------------------------------------------------------------------------
struct Host {
  std::string name;
  std::uint16_t port = 0;
  std::string health = "up";
};

class Bus {
 public:
  explicit Bus(const std::vector<Host>& hosts);
  ~Bus();
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::string known() const;  // the events up to now, for the router's configuration
  double put(const Host& host);             // adds an event with a changed host; returns its time
  // Each answer is sent this much later than it would be otherwise.
  std::atomic<double> answer_delay_ms = 0;

 private:
  void serve(int socket);
  void answer(int socket);
  [[nodiscard]] std::string batch(std::size_t from) const;

  std::uint16_t port_ = 0;
  int socket_ = -1;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// ---- SQL engine ------------------------------------------------------------------------------------------
// Runs each query for as long as its statement says ("work_ms=N") and returns as many rows as it says
// ("rows=N"). A query ends early if it is deleted or was not asked for in 2 s.
struct Query {
  std::string id, class_name;
  double started = 0, ends = 0, asked = 0, over = 0;  // over: 0 while it runs
  std::string how = "running";
  std::vector<std::string> pages;
};

// How callers reach an engine. The values of 0 are the system's choice, which for loopback is far above that of any
// network between machines.
struct Link {
  int segment_bytes = 0;         // largest TCP segment that callers may send
  int receive_buffer_bytes = 0;  // of the engine's connections
  double bytes_per_ms = 0;       // at which the body of a call comes in
};

class Engine {
 public:
  explicit Engine(std::string name, const Link& link = {});
  ~Engine();
  [[nodiscard]] Host host() const { return {name_, port_, "up"}; }
  [[nodiscard]] const std::string& name() const { return name_; }
  // Every query that was started here, in order.
  std::vector<Query> queries();
  // If set, may change the bytes of an answer 200 with rows. `head` ends before Content-Length.
  std::function<std::string(const std::string& head, const std::string& body, const std::string& id)> spoil;
  // A start is answered as "full" once its head has come, if `sessions` and what runs here reach kMaxSessions; the
  // rest of the call is read and dropped. `sessions` stands for the work of other routers.
  static constexpr int kMaxSessions = 72;
  std::atomic<int> sessions = 0;
  std::atomic<int> times_full = 0;

 private:
  void accept_calls();
  int held();
  bool read_more(int socket, std::string& in, std::size_t at_most);
  void serve(int socket);
  std::string answer(const std::string& method, const std::string& path,
                     const std::map<std::string, std::string>& fields, const std::string& body);
  std::string status(const std::string& id);
  void expire();

  std::string name_;
  Link link_;
  std::uint16_t port_ = 0;
  int socket_ = -1;
  std::atomic<int> reported_ = 0;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Query>> all_;
  std::map<std::string, std::shared_ptr<Query>> known_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_, expiry_;
};

// The rows that the engines return for a query.
std::string rows_of(const std::string& id, int rows);

// ---- client ----------------------------------------------------------------------------------------------
struct Answer {
  int code = -1;  // 0 served, 1 refused, 2 failed
  std::string body;
  double at = 0;
};

struct Sent {
  std::string id, class_name;
  std::uint32_t stream = 0;
  int connection = 0;
  double at = 0;       // when its last byte was written
  double wait_ms = 0;  // field d
  bool whole = false;  // all its bytes were written
  std::vector<Answer> answers;
};

std::string frame(unsigned type, std::uint32_t stream, const std::string& payload);
std::string request_payload(const std::string& class_name, const std::string& id, int wait_ms,
                            const std::string& tenant, const std::string& statement);
std::string new_id();

class Client {
 public:
  explicit Client(std::uint16_t port);
  ~Client();
  [[nodiscard]] bool open() const { return open_; }
  // Sends one request and returns its place in requests().
  std::size_t request(const std::string& class_name, int wait_ms, const std::string& tenant,
                      const std::string& statement);
  bool ready();  // asks whether the router is ready
  std::vector<Sent> requests();
  [[nodiscard]] double closed_at() const { return closed_at_; }
  void close();

 private:
  void read();

  int number_, socket_;
  std::atomic<bool> open_ = false;
  std::atomic<double> closed_at_ = 0;
  std::mutex mutex_, write_mutex_;
  std::vector<Sent> requests_;
  std::map<std::uint32_t, std::size_t> by_stream_;
  std::uint32_t last_stream_ = 0;
  std::atomic<int> readiness_ = -1;
  std::thread thread_;
};

// ---- router ----------------------------------------------------------------------------------------------
struct Limits {
  int memory_mb = 64, sockets = 256;
};

class Router {
 public:
  // Writes the configuration and starts the command `run` of the deploy file (environment: RUN_COMMAND).
  Router(const Bus& bus, const std::string& classes, const std::string& more_settings, const Limits& limits);
  ~Router();
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] pid_t pid() const { return pid_; }
  bool wait_until_ready();
  [[nodiscard]] bool running();  // false once the process has ended
  void send_signal(int number) const;

 private:
  std::uint16_t port_ = 0;
  pid_t pid_ = -1;
  std::string folder_;
  bool ended_ = false;
};

// The classes of a small deployment: short queries, reports, and loads that must not run twice.
extern const char* const kClasses;

// The name of one of the tenants in the settings.
inline const char* tenant(int number) {
  constexpr const char* names[] = {"blue-sky-port", "khangai-field", "nomad-strip"};
  return names[number % 3];
}

bool trouble();  // false with TROUBLE=0

}  // namespace rig
