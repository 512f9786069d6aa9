// Stand-ins of review 2: a sound event bus, sound SQL engines and sound clients of the platform, on loopback
// addresses, and the router as a process of its own, started with the `run` line of the deploy file.
//
// Everything runs on one thread and on the real clock. A case includes this file, adds the one disruption that
// it shows, and judges only what the stand-ins have seen on their sockets.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review2 {

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double now() {
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration<double>(steady_clock::now() - start).count();
}

// ---- record ----------------------------------------------------------------------------------------------
inline FILE*& record_file() {
  static FILE* file = nullptr;
  return file;
}
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
  char line[4096];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(line, sizeof line, format, arguments);
  va_end(arguments);
  if (record_file() != nullptr) std::fprintf(record_file(), "%9.3f  %s\n", now(), line);
}
[[noreturn]] inline void could_not_run(const std::string& why) {
  note("could not run: %s", why.c_str());
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::exit(kCouldNotRun);
}
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- event loop ------------------------------------------------------------------------------------------
class Loop {
 public:
  using Ready = std::function<void(std::uint32_t)>;
  Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {}
  void watch(int fd, std::uint32_t events, Ready ready) {
    const bool known = handlers_.contains(fd);
    handlers_[fd] = std::make_shared<Ready>(std::move(ready));
    set(known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, events);
  }
  void change(int fd, std::uint32_t events) { set(EPOLL_CTL_MOD, fd, events); }
  void forget(int fd) {
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    handlers_.erase(fd);
  }
  void after(double seconds, std::function<void()> task) {
    timers_.emplace(now() + seconds, std::move(task));
  }
  // Runs until `done` returns true or `seconds` have passed. Returns whether `done` was true.
  bool run(
      double seconds, const std::function<bool()>& done = [] { return false; }) {
    const double end = now() + seconds;
    while (!done()) {
      if (now() >= end) return false;
      step(end);
    }
    return true;
  }

 private:
  void set(int operation, int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    ::epoll_ctl(epoll_, operation, fd, &event);
  }
  void step(double end) {
    double wait = std::min(end - now(), 0.02);
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
    epoll_event events[256];
    const int count = ::epoll_wait(epoll_, events, 256, std::max(0, static_cast<int>(wait * 1000)));
    for (int i = 0; i < count; ++i) {
      const auto found = handlers_.find(events[i].data.fd);
      if (found == handlers_.end()) continue;
      const auto handler = found->second;
      (*handler)(events[i].events);
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto task = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      task();
    }
  }
  int epoll_;
  std::map<int, std::shared_ptr<Ready>> handlers_;
  std::multimap<double, std::function<void()>> timers_;
};
inline Loop& loop() {
  static Loop instance;
  return instance;
}

// ---- sockets ---------------------------------------------------------------------------------------------
inline sockaddr_in address_of(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}
// Listens on a loopback address; port 0 takes a free one, and `port` then holds it. Returns -1 on failure.
inline int listen_at(const std::string& host, std::uint16_t& port, int backlog = 1024) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = address_of(host, port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  const int fd = listen_at("127.0.0.1", port);
  if (fd < 0) could_not_run("no free port");
  ::close(fd);
  return port;
}

// One TCP connection. What is sent is written at once, as far as it goes, and the rest later.
class Wire : public std::enable_shared_from_this<Wire> {
 public:
  static std::shared_ptr<Wire> accepted(int fd) {
    const auto wire = std::make_shared<Wire>();
    wire->adopt(fd);
    return wire;
  }
  static std::shared_ptr<Wire> dial(const std::string& host, std::uint16_t port) {
    const auto wire = std::make_shared<Wire>();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = address_of(host, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
      ::close(fd);
      return nullptr;
    }
    wire->adopt(fd);
    return wire;
  }
  ~Wire() { close(); }
  void start(std::function<void()> on_data, std::function<void()> on_end) {
    on_data_ = std::move(on_data);
    on_end_ = std::move(on_end);
    loop().watch(fd_, EPOLLIN, [weak = weak_from_this()](std::uint32_t events) {
      if (const auto self = weak.lock()) self->ready(events);
    });
  }
  void send(std::string_view bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    flush();
  }
  void close(bool reset = false) {
    if (fd_ < 0) return;
    loop().forget(fd_);
    if (reset) {
      const linger now_reset{1, 0};
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now_reset, sizeof now_reset);
    }
    ::close(fd_);
    fd_ = -1;
  }
  void set_reading(bool on) {
    reading_ = on;
    update();
  }
  [[nodiscard]] bool open() const { return fd_ >= 0; }
  [[nodiscard]] std::size_t unsent() const { return out_.size(); }
  [[nodiscard]] int fd() const { return fd_; }
  std::string in;  // received and not used yet

 private:
  void adopt(int fd) {
    fd_ = fd;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  void update() {
    if (fd_ >= 0) loop().change(fd_, (reading_ ? EPOLLIN : 0U) | (out_.empty() ? 0U : EPOLLOUT));
  }
  void flush() {
    while (!out_.empty()) {
      const auto sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent <= 0) break;
      out_.erase(0, static_cast<std::size_t>(sent));
    }
    update();
  }
  void ready(std::uint32_t events) {
    const auto self = shared_from_this();
    if ((events & EPOLLOUT) != 0) flush();
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0) return;
    char buffer[65536];
    const auto size = ::recv(fd_, buffer, sizeof buffer, 0);
    if (size > 0) {
      in.append(buffer, static_cast<std::size_t>(size));
      if (on_data_) on_data_();
      return;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    const auto on_end = on_end_;
    close();
    if (on_end) on_end();
  }
  int fd_ = -1;
  bool reading_ = true;
  std::string out_;
  std::function<void()> on_data_, on_end_;
};
using WirePtr = std::shared_ptr<Wire>;

inline void accept_all(int fd, const std::function<void(int)>& serve) {
  loop().watch(fd, EPOLLIN, [fd, serve](std::uint32_t) {
    while (true) {
      const int client = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (client < 0) return;
      serve(client);
    }
  });
}

// ---- HTTP/1.1 calls --------------------------------------------------------------------------------------
struct Call {
  std::string method, target, body;
  std::map<std::string, std::string> fields;  // names in lower case
};
// Takes the first complete call from `in`. Returns false if there is none yet.
inline bool take_call(std::string& in, Call& call) {
  const auto head_end = in.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  call = Call();
  std::istringstream head(in.substr(0, head_end));
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  first >> call.method >> call.target;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    call.fields[name] = line.substr(line.find_first_not_of(' ', colon + 1));
  }
  const auto found = call.fields.find("content-length");
  const std::size_t length = found == call.fields.end() ? 0 : std::stoul(found->second);
  if (in.size() < head_end + 4 + length) return false;
  call.body = in.substr(head_end + 4, length);
  in.erase(0, head_end + 4 + length);
  return true;
}
inline std::string answer(const std::string& status_and_fields, const std::string& body) {
  return "HTTP/1.1 " + status_and_fields + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// ---- event bus -------------------------------------------------------------------------------------------
struct Host {
  std::string name, address;
  std::uint16_t port = 0;
  std::string health = "up", zone = "dc1", kind = "std";
  long long born_ms = 0;
  int cell = 0;
};
inline std::string host_json(const Host& host) {
  std::ostringstream out;
  out << R"({"host":")" << host.name << R"(","dial":")" << host.address << ':' << host.port << R"(","site":")"
      << host.zone << R"(","class":")" << host.kind << R"(","block":)" << host.cell << R"(,"health":")"
      << host.health << R"(","share":1,"born_ms":)" << host.born_ms << '}';
  return out.str();
}
class Bus {
 public:
  Bus() {
    fd_ = listen_at("127.0.0.1", port_);
    if (fd_ < 0) could_not_run("the event bus finds no port");
    accept_all(fd_, [this](int client) { serve(client); });
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  void publish(const std::vector<Host>& hosts, bool whole) {
    std::string list;
    for (const auto& host : hosts) list += (list.empty() ? "" : ",") + host_json(host);
    const auto number = std::to_string(events_.size() + 1);
    events_.push_back(R"({"offset":)" + number + R"(,"topology":{"seq":)" + number + R"(,"whole":)" +
                      (whole ? "true" : "false") + R"(,"hosts":[)" + list + "]}}");
    for (const auto& waiting : std::exchange(waiting_, {})) respond(waiting.first, waiting.second);
  }
  // The events after number `from`, in the form of an answer and of `known`.
  [[nodiscard]] std::string read(std::size_t from) const {
    std::string batch;
    for (std::size_t i = from; i < events_.size(); ++i) batch += (batch.empty() ? "" : ",") + events_[i];
    return R"({"offset":)" + std::to_string(events_.size()) + R"(,"batch":[)" + batch + "]}";
  }

 private:
  void serve(int client) {
    const auto wire = Wire::accepted(client);
    wires_[client] = wire;
    wire->start([this, client] { on_data(client); }, [this, client] { wires_.erase(client); });
  }
  void on_data(int client) {
    const auto wire = wires_.at(client);
    Call call;
    if (!take_call(wire->in, call)) return;
    const auto value = [&call](const std::string& name) {
      const auto at = call.target.find(name + "=");
      return at == std::string::npos ? 0UL : std::stoul(call.target.substr(at + name.size() + 1));
    };
    const std::size_t from = value("from");
    if (from < events_.size()) return respond(wire, from);
    waiting_.emplace_back(wire, from);
    loop().after(static_cast<double>(std::min(5000UL, value("hold"))) / 1000, [this, wire, from] {
      const auto found = std::ranges::find_if(waiting_, [&](const auto& one) { return one.first == wire; });
      if (found == waiting_.end()) return;
      waiting_.erase(found);
      respond(wire, from);
    });
  }
  void respond(const WirePtr& wire, std::size_t from) {
    wire->send(answer("200 OK", from > events_.size() ? read(events_.size()) : read(from)));
  }
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::vector<std::string> events_;
  std::map<int, WirePtr> wires_;
  std::vector<std::pair<WirePtr, std::size_t>> waiting_;
};

// ---- SQL engines -----------------------------------------------------------------------------------------
struct Result {
  double seconds = 0.01;           // how long the query runs
  std::vector<std::string> pages;  // at most 6,000 bytes of whole rows each
};
// What a statement gives is up to the case: the same for each run, so that an answer can be checked.
using Work = std::function<Result(const std::string& statement)>;

class Engine {
 public:
  struct Query {
    std::string id, statement;
    Result result;
    double started = 0, last_asked = 0;
    bool done = false, dropped = false;
    WirePtr asking;  // the connection that waits for news
    unsigned ask = 0;
  };
  Engine(std::string name, const std::string& address, std::uint16_t port, Work work)
      : name_(std::move(name)), work_(std::move(work)), port_(port) {
    fd_ = listen_at(address, port_);
    if (fd_ < 0) could_not_run("the engine " + name_ + " can't listen");
    accept_all(fd_, [this](int client) { serve(client); });
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  // Called for the answer to a good end or a page, to send it in another way. Returns true if it did.
  std::function<bool(const WirePtr&, const Query&, unsigned page, const std::string& fields,
                     const std::string& rows)>
      send_page;
  std::function<void(const Query&)> on_start;
  bool quiet = false;  // no record of each start
  std::size_t starts = 0;

 private:
  void serve(int client) {
    const auto wire = Wire::accepted(client);
    wires_[client] = wire;
    wire->start(
        [this, wire] {
          Call call;
          while (take_call(wire->in, call)) handle(wire, call);
        },
        [this, client] { wires_.erase(client); });
  }
  void handle(const WirePtr& wire, const Call& call) {
    if (call.target == "/ping" || call.target == "/busy") {
      std::size_t running = 0;
      for (const auto& [id, query] : queries_) running += query.done || query.dropped ? 0 : 1;
      return wire->send(answer(
          "200 OK" + (call.target == "/busy" ? "\r\nX-Report: inflight:" + std::to_string(running) : ""),
          ""));
    }
    if (call.method == "POST" && call.target == "/x") return begin(wire, call);
    if (!call.target.starts_with("/x/")) return wire->close();
    const auto rest = call.target.substr(3);
    const auto slash = rest.find('/');
    const auto found = queries_.find(rest.substr(0, slash));
    if (call.method == "DELETE") {
      if (found != queries_.end()) drop(found->second, "deleted");
      return wire->send("HTTP/1.1 204 No Content\r\n\r\n");
    }
    if (found == queries_.end() || found->second.dropped || slash == std::string::npos)
      return wire->send(answer("500 Error", ""));
    const unsigned page = static_cast<unsigned>(std::stoul(rest.substr(slash + 1)));
    auto& query = found->second;
    query.last_asked = now();
    if (page == 0) return tell(wire, query);
    if (!query.done || page >= query.result.pages.size()) return wire->send(answer("500 Error", ""));
    put(wire, query, page, "200 OK\r\nX-Part-No: " + std::to_string(page));
  }
  void begin(const WirePtr& wire, const Call& call) {
    const auto field = [&call](const char* name) {
      const auto found = call.fields.find(name);
      return found == call.fields.end() ? std::string() : found->second;
    };
    const auto id = field("x-hop-id");
    if (id.empty()) return wire->close();
    auto& query = queries_[id];
    if (!query.id.empty() && !query.dropped && !query.done) return wire->send(answer("500 Error", ""));
    query = Query{id, call.body, work_(call.body), now(), now(), false, false, nullptr, 0};
    ++starts;
    if (!quiet)
      note("engine %s: start of %s (%s, budget %s ms)", name_.c_str(), id.c_str(), field("x-sort").c_str(),
           field("x-budget").c_str());
    if (on_start) on_start(query);
    loop().after(query.result.seconds, [this, id, started = query.started] {
      auto& ended = queries_[id];
      if (ended.started != started || ended.dropped) return;
      ended.done = true;
      if (ended.asking) tell(std::exchange(ended.asking, nullptr), ended);
    });
    check(id, query.started);
    tell(wire, query);
  }
  // A query that has not been asked for in 2 s is dropped.
  void check(const std::string& id, double started) {
    loop().after(0.25, [this, id, started] {
      const auto found = queries_.find(id);
      if (found == queries_.end() || found->second.started != started) return;
      auto& query = found->second;
      if (now() > query.last_asked + (query.done || query.dropped ? 5.0 : 2.0)) {
        if (query.done || query.dropped) {
          queries_.erase(found);
          return;
        }
        drop(query, "not asked for in 2 s");
      }
      check(id, started);
    });
  }
  void drop(Query& query, const char* why) {
    if (query.dropped || query.done) return;
    query.dropped = true;
    note("engine %s: %s ends, %s", name_.c_str(), query.id.c_str(), why);
    if (query.asking) std::exchange(query.asking, nullptr)->send(answer("500 Error", ""));
  }
  // The news of a query: its end, or after 250 ms 202 with nothing.
  void tell(const WirePtr& wire, Query& query) {
    if (query.done)
      return put(wire, query, 0, "200 OK\r\nX-Parts: " + std::to_string(query.result.pages.size()));
    query.asking = wire;
    loop().after(0.25, [this, wire, id = query.id, ask = ++query.ask] {
      const auto found = queries_.find(id);
      if (found == queries_.end() || found->second.ask != ask || found->second.asking != wire) return;
      found->second.asking = nullptr;
      wire->send(answer("202 Accepted", ""));
    });
  }
  void put(const WirePtr& wire, const Query& query, unsigned page, const std::string& fields) {
    const auto& rows = query.result.pages[page];
    if (send_page && send_page(wire, query, page, fields, rows)) return;
    wire->send(answer(fields, rows));
  }
  std::string name_;
  Work work_;
  int fd_ = -1;
  std::uint16_t port_;
  std::map<int, WirePtr> wires_;
  std::map<std::string, Query> queries_;
};

// ---- clients ---------------------------------------------------------------------------------------------
inline void put_number(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}
inline std::string frame(unsigned type, std::uint32_t stream, const std::string& payload) {
  std::string out;
  put_number(out, 5 + payload.size(), 4);
  put_number(out, type, 1);
  put_number(out, stream, 4);
  return out + payload;
}
inline std::string fields_of(const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string out;
  put_number(out, fields.size(), 1);
  for (const auto& [name, value] : fields) {
    put_number(out, name.size(), 1);
    out += name;
    put_number(out, value.size(), 2);
    out += value;
  }
  return out;
}
inline std::string new_id() {
  static std::uint64_t state = static_cast<std::uint64_t>(::getpid()) << 20;
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t x = state;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(x ^ (x >> 31)));
  return text;
}
struct Request {
  std::string id, cls, statement;
  int ms = 4000;
  double sent = 0;
  int code = -1;  // 0 served, 1 refused, 2 failed, -1 no answer yet
  double answered = 0;
  unsigned answers = 0;
  std::string body;
  bool connection_ended = false;  // before an answer
};
using RequestPtr = std::shared_ptr<Request>;

// A client on one connection. Streams count up from 1.
class Client {
 public:
  Client(std::uint16_t port, std::string tenant) : tenant_(std::move(tenant)) {
    wire_ = Wire::dial("127.0.0.1", port);
    if (!wire_) return;
    wire_->start([this] { on_data(); }, [this] { on_end(); });
  }
  RequestPtr send(const std::string& cls, int ms, const std::string& statement) {
    auto request = std::make_shared<Request>();
    request->id = new_id();
    request->cls = cls;
    request->ms = ms;
    request->statement = statement;
    request->sent = now();
    std::vector<std::pair<std::string, std::string>> fields = {
        {"c", cls}, {"i", request->id}, {"d", std::to_string(ms)}};
    if (!tenant_.empty()) fields.emplace_back("t", tenant_);
    open_[++stream_] = request;
    if (!wire_ || !wire_->open()) {
      on_end();
      return request;
    }
    wire_->send(frame(2, stream_, fields_of(fields) + statement));
    return request;
  }
  void ask_ready() { wire_->send(frame(16, 1, std::string(1, '\0'))); }
  void send_raw(std::string_view bytes) { wire_->send(bytes); }
  void cancel(const RequestPtr& request) {
    for (const auto& [stream, open] : open_)
      if (open == request) return wire_->send(frame(8, stream, ""));
  }
  void close(bool reset = false) {
    if (wire_) wire_->close(reset);
  }
  [[nodiscard]] bool open() const { return wire_ && wire_->open(); }
  [[nodiscard]] const WirePtr& wire() const { return wire_; }
  bool ready = false, told_to_go = false;
  double ended = 0;
  std::function<void(const RequestPtr&)> on_answer;

 private:
  void on_data() {
    auto& in = wire_->in;
    while (in.size() >= 4) {
      const auto number = [&in](std::size_t at, int bytes) {
        std::uint64_t value = 0;
        for (int i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(in[at + i]);
        return value;
      };
      const auto length = number(0, 4);
      if (in.size() < 4 + length) return;
      const auto type = number(4, 1);
      const auto stream = static_cast<std::uint32_t>(number(5, 4));
      const auto payload = in.substr(9, length - 5);
      in.erase(0, 4 + length);
      if (type == 32) ready = payload[0] == 0;
      if (type == 64) told_to_go = true;
      if (type == 4) on_response(stream, payload);
    }
  }
  void on_response(std::uint32_t stream, const std::string& payload) {
    const auto found = open_.find(stream);
    if (found == open_.end()) return;
    const auto request = found->second;
    ++request->answers;
    if (request->answers > 1) return;
    request->code = static_cast<unsigned char>(payload[0]);
    request->answered = now();
    std::size_t at = 2;
    for (int i = static_cast<unsigned char>(payload[1]); i > 0; --i) {
      at += 1 + static_cast<unsigned char>(payload[at]);
      at += 2 + (static_cast<unsigned char>(payload[at]) << 8 | static_cast<unsigned char>(payload[at + 1]));
    }
    request->body = payload.substr(at);
    if (on_answer) on_answer(request);
  }
  void on_end() {
    ended = now();
    for (const auto& [stream, request] : open_)
      if (request->code < 0) request->connection_ended = true;
  }
  WirePtr wire_;
  std::string tenant_;
  std::uint32_t stream_ = 0;
  std::map<std::uint32_t, RequestPtr> open_;
};
using ClientPtr = std::unique_ptr<Client>;

// ---- the router ------------------------------------------------------------------------------------------
// The router as the platform starts it: the `run` line of the deploy file, by /bin/sh -c, from the root.
class Router {
 public:
  // `settings`, `known`: JSON. `folder`: a temporary folder for the configuration and the log.
  Router(std::string folder, std::uint16_t bus, const std::string& known, const std::string& settings,
         int memory_mb, int sockets)
      : folder_(std::move(folder)), port_(free_port()), memory_mb_(memory_mb) {
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n0","listen":"127.0.0.1:)" << port_
        << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << memory_mb
        << R"(,"sockets":)" << sockets << R"(},"bus":"127.0.0.1:)" << bus << R"(","known":)" << known
        << R"(,"settings":)" << settings << '}';
    start();
  }
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router() { stop(SIGKILL); }

  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Ends the process with `number` and waits for its end.
  void stop(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    ::kill(pid_, SIGCONT);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  // True if the process has ended by itself or by a signal.
  bool ended() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ <= 0;
  }
  [[nodiscard]] std::string how_it_ended() const {
    if (WIFSIGNALED(status_)) return "signal " + std::to_string(WTERMSIG(status_));
    return "exit code " + std::to_string(WEXITSTATUS(status_));
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] int pid() const { return pid_; }
  [[nodiscard]] int memory_mb() const { return memory_mb_; }
  // A value of /proc/PID/status in KiB, such as "RssAnon" or "VmRSS".
  [[nodiscard]] long status_kib(const std::string& name) const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.starts_with(name + ":")) return std::atol(line.c_str() + name.size() + 1);
    return 0;
  }
  // Asks until the router answers that it is ready.
  void wait_until_ready() {
    const double end = now() + 30;
    while (now() < end) {
      Client client(port_, "");
      if (client.open()) client.ask_ready();
      if (loop().run(0.2, [&] { return client.ready; })) {
        note("the router is ready (process %d)", pid_);
        return;
      }
      if (ended()) could_not_run("the router ended at its start, " + how_it_ended());
    }
    could_not_run("the router was not ready within 30 s");
  }
  // Copies the router's own log to the end of the record.
  void record_log() const {
    std::ifstream in(folder_ + "/log");
    int lines = 0;
    for (std::string line; std::getline(in, line) && lines < 40; ++lines) note("log: %s", line.c_str());
  }

 private:
  static std::string run_line() {
    std::ifstream in("deploy/balancer.toml");
    for (std::string line; std::getline(in, line);) {
      if (!line.starts_with("run = \"")) continue;
      const auto end = line.find('"', 7);
      return line.substr(7, end - 7);
    }
    could_not_run("deploy/balancer.toml has no run line");
  }
  void start() {
    const auto run = run_line();
    const auto listen = "127.0.0.1:" + std::to_string(port_);
    const auto config = folder_ + "/config.json", log = folder_ + "/log";
    const int parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("ROUTER_NAME", "n0", 1);
    ::setenv("ROUTER_LISTEN", listen.c_str(), 1);
    ::setenv("ROUTER_CONFIG", config.c_str(), 1);
    ::setenv("TMPDIR", folder_.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  std::string folder_;
  std::uint16_t port_;
  int memory_mb_;
  int pid_ = -1;
  int status_ = 0;
};

// ---- settings --------------------------------------------------------------------------------------------
// The settings of a small deployment with the classes lookup (safe to repeat), report (safe) and plan-load (must
// never run twice); the figures are those of the first operators' examples.
inline std::string small_deployment(int routers) {
  return R"({"az":0,"balancers":)" + std::to_string(routers) + R"(,
"ceilings":{"cancel":true,"dial-timeout":250000000,"idle-close":30000000000,"max-attempts":3,
 "max-retry-after":500000000,"may-tell":false,"most-held":26666,"probing":true,"retry-after":true,
 "second-copies":false,"streams-per-conn":32},
"classes":[
 {"aim":800000000,"aim-stretch":1.5,"credit":1.0,"give-up":4000000000,"group":"all","late-share":0.1,
  "name":"lookup","semantics":"safe","stream":false,"window":5000000000},
 {"aim":2000000000,"aim-stretch":2.5,"credit":12.0,"give-up":25000000000,"group":"all","late-share":0.4,
  "name":"report","semantics":"safe","stream":false,"window":5000000000},
 {"aim":4000000000,"aim-stretch":3.0,"credit":6.0,"give-up":25000000000,"group":"all","late-share":0.6,
  "name":"plan-load","semantics":"unsafe","stream":false,"window":5000000000}],
"clients":{"marks-retry":false},
"family-info":{"class-waits":[true,true,false],"cpu-of-kind":[12],"grants":true,"loads":[false,false,true],
 "max-grant-share":0.4,"out-of-memory":"overcommit","progress-pace":500000000,"ram-of-kind-mb":[24576.0],
 "takes-priority":false,"tells-cost":false,"width-by-class":[1,4,2]},
"kinds":["std"],"me":0,"membership-mode":"pushed","over-share-worth":0.05,
"report":{"fields":["busy_reqs"],"how":"pull"},
"safety":{"ask-within":10000000000,"cold-from":0.33,"drain-grace":500000000,"fall":3000000000,
 "grace-to-answer":20000000,"ramp-time":14000000000,"tip-multiple":2.5},
"step":5000000,"tenants":[{"name":"acme","portion":1.0,"quota-rps":200.0}],
"tier":0,"tiers":["query-engines"],"value-by":"request","weights":"nominal","workload":"queries",
"zones":["dc1"]})";
}

// ---- start of a case -------------------------------------------------------------------------------------
// Arguments of each case: the folder of the case, for record.txt, and a temporary folder.
struct Case {
  std::string temporary;
  Case(int count, char** arguments) {
    if (count != 3) could_not_run("expected: the case's folder, a temporary folder");
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(118);  // a case runs for 120 s at most; the router ends with this process
    record_file() = std::fopen((std::string(arguments[1]) + "/record.txt").c_str(), "w");
    if (record_file() == nullptr) could_not_run("record.txt can't be written");
    std::setvbuf(record_file(), nullptr, _IOLBF, 0);
    temporary = arguments[2];
    note("%s the disruption", trouble() ? "with" : "without");
  }
  static int verdict(bool broken, const std::string& text) {
    note("%s: %s", broken ? "BROKEN" : "held", text.c_str());
    std::printf("%s: %s\n", broken ? "BROKEN" : "held", text.c_str());
    return broken ? kBroken : kHeld;
  }
};

}  // namespace review2
