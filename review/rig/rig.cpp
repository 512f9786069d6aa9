#include "rig.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

namespace rig {
namespace {

constexpr double kPollHoldMs = 250;          // an engine holds a poll for this long
constexpr double kUnaskedLifetimeMs = 2000;  // an engine drops a query that was not asked for in this time
constexpr std::size_t kPageBytes = 6000;
constexpr std::size_t kHeadBytes = 4096;  // read at once until the head of a call has come

std::mutex record_mutex;
std::FILE* record_file = nullptr;
double record_start = 0;

std::string u32(std::uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 255));
  return out;
}

std::uint32_t read_u32(const std::string& in, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(in[at + i]);
  return value;
}

std::string field(const std::string& name, const std::string& value) {
  std::string out(1, static_cast<char>(name.size()));
  out += name;
  out.push_back(static_cast<char>(value.size() >> 8));
  out.push_back(static_cast<char>(value.size() & 255));
  return out + value;
}

int number_in(const std::string& statement, const std::string& name, int otherwise) {
  const auto at = statement.find(name + "=");
  return at == std::string::npos ? otherwise : std::atoi(statement.c_str() + at + name.size() + 1);
}

std::vector<std::string> pages_of(const std::string& rows) {
  std::vector<std::string> pages(1);
  for (std::size_t at = 0; at < rows.size();) {
    const auto end = rows.find('\n', at) + 1;
    if (pages.back().size() + (end - at) > kPageBytes) pages.emplace_back();
    pages.back() += rows.substr(at, end - at);
    at = end;
  }
  return pages;
}

std::string host_json(const Host& host) {
  return text(
      R"({"host":"%s","dial":"127.0.0.1:%u","site":"ub-dc1","class":"std-12c","block":0,"health":"%s","share":12,"born_ms":0})",
      host.name.c_str(), static_cast<unsigned>(host.port), host.health.c_str());
}

}  // namespace

// ---- time, record, sockets -------------------------------------------------------------------------------
double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

void open_record(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
  if (record_file == nullptr) std::exit(2);
  record_start = now_ms();
  std::signal(SIGPIPE, SIG_IGN);
}

void record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  std::fprintf(record_file, "%10.1f  %s\n", now_ms() - record_start, line.c_str());
  std::fflush(record_file);
}

std::string text(const char* format, ...) {
  char buffer[2048];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(buffer, sizeof buffer, format, arguments);
  va_end(arguments);
  return buffer;
}

int listen_on_loopback(std::uint16_t& port, int segment_bytes, int receive_buffer_bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (segment_bytes > 0) ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
  if (receive_buffer_bytes > 0)
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(socket, 512) != 0) std::exit(2);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return socket;
}

int connect_to(std::uint16_t port, int receive_buffer) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(port);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return socket;
  ::close(socket);
  return -1;
}

bool send_all(int socket, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- event bus -------------------------------------------------------------------------------------------
Bus::Bus(const std::vector<Host>& hosts) : socket_(listen_on_loopback(port_)) {
  std::string list;
  for (const auto& host : hosts) list += (list.empty() ? "" : ",") + host_json(host);
  events_.push_back(R"({"offset":1,"topology":{"seq":1,"whole":true,"hosts":[)" + list + "]}}");
  thread_ = std::thread([this] { serve(socket_); });
}

Bus::~Bus() {
  stopping_ = true;
  changed_.notify_all();
  ::shutdown(socket_, SHUT_RDWR);
  thread_.join();
  ::close(socket_);
}

std::string Bus::batch(std::size_t from) const {
  std::string list;
  for (auto at = from; at < events_.size(); ++at) list += (list.empty() ? "" : ",") + events_[at];
  return text(R"({"offset":%zu,"batch":[)", std::max(from, events_.size())) + list + "]}";
}

std::string Bus::known() const {
  const std::lock_guard lock(mutex_);
  return batch(0);
}

double Bus::put(const Host& host) {
  const std::lock_guard lock(mutex_);
  const auto number = events_.size() + 1;
  events_.push_back(text(R"({"offset":%zu,"topology":{"seq":%zu,"whole":false,"hosts":[)", number, number) +
                    host_json(host) + "]}}");
  const auto at = now_ms();
  record(text("bus: event %zu: %s is %s", number, host.name.c_str(), host.health.c_str()));
  changed_.notify_all();
  return at;
}

void Bus::serve(int socket) {
  while (!stopping_) {
    const int call = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (call < 0) break;
    std::thread([this, call] { answer(call); }).detach();
  }
}

void Bus::answer(int socket) {
  std::string head;
  while (!stopping_) {
    char buffer[2048];
    const auto end = head.find("\r\n\r\n");
    if (end == std::string::npos) {
      const auto size = ::recv(socket, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      head.append(buffer, static_cast<std::size_t>(size));
      continue;
    }
    const auto from = static_cast<std::size_t>(number_in(head, "from", 0));
    const int hold = number_in(head, "hold", 0);
    head.erase(0, end + 4);
    std::string body;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, std::chrono::milliseconds(hold),
                        [&] { return stopping_ || events_.size() > from; });
      body = batch(from);
    }
    if (answer_delay_ms > 0) sleep_ms(answer_delay_ms);
    const bool sent = send_all(
        socket, text("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                     body.size()) +
                    body);
    record(text("bus: read from=%zu hold=%d answered with %zu bytes%s", from, hold, body.size(),
                sent ? "" : " (the caller had gone)"));
    if (!sent) break;
  }
  ::close(socket);
}

// ---- SQL engine ------------------------------------------------------------------------------------------
std::string rows_of(const std::string& id, int rows) {
  std::string out;
  for (int row = 0; row < rows; ++row) out += text("%s\t%d\tok\n", id.substr(12).c_str(), row);
  return out;
}

Engine::Engine(std::string name, const Link& link)
    : name_(std::move(name)),
      link_(link),
      socket_(listen_on_loopback(port_, link.segment_bytes, link.receive_buffer_bytes)) {
  thread_ = std::thread([this] { accept_calls(); });
  expiry_ = std::thread([this] { expire(); });
}

Engine::~Engine() {
  stopping_ = true;
  ::shutdown(socket_, SHUT_RDWR);
  thread_.join();
  expiry_.join();
  ::close(socket_);
}

std::vector<Query> Engine::queries() {
  const std::lock_guard lock(mutex_);
  std::vector<Query> out;
  for (const auto& query : all_) out.push_back(*query);
  return out;
}

void Engine::expire() {
  for (int i = 0; !stopping_; ++i) {
    sleep_ms(2);
    if (i % 250 == 0) reported_ = held();  // the load report is renewed every 500 ms
    const std::lock_guard lock(mutex_);
    const auto now = now_ms();
    for (const auto& query : all_) {
      if (query->over > 0) continue;
      if (now >= query->ends) query->how = "ended";
      if (now >= query->asked + kUnaskedLifetimeMs) query->how = "dropped, not asked for in 2 s";
      if (query->how == "running") continue;
      query->over = now;
      record(text("%s: run %s: %s", name_.c_str(), query->id.c_str(), query->how.c_str()));
    }
  }
}

void Engine::accept_calls() {
  while (!stopping_) {
    const int call = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (call < 0) break;
    std::thread([this, call] { serve(call); }).detach();
  }
}

// Queries that the engine holds.
int Engine::held() {
  const std::lock_guard lock(mutex_);
  return sessions +
         static_cast<int>(std::ranges::count_if(all_, [](const auto& one) { return one->over == 0; }));
}

// Reads at most so many bytes, at the speed of the link. Returns false at the end of the connection.
bool Engine::read_more(int socket, std::string& in, std::size_t at_most) {
  char buffer[65536];
  if (link_.bytes_per_ms > 0) at_most = std::min(at_most, kHeadBytes);
  const auto size = ::recv(socket, buffer, std::min(at_most, sizeof buffer), 0);
  if (size <= 0) return false;
  in.append(buffer, static_cast<std::size_t>(size));
  if (link_.bytes_per_ms > 0) sleep_ms(static_cast<double>(size) / link_.bytes_per_ms);
  return true;
}

void Engine::serve(int socket) {
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string in;
  while (!stopping_) {
    const auto end = in.find("\r\n\r\n");
    std::size_t length = 0;
    std::map<std::string, std::string> fields;
    if (end != std::string::npos) {
      for (auto at = in.find("\r\n") + 2; at < end + 2;) {
        const auto line_end = in.find("\r\n", at);
        const auto line = in.substr(at, line_end - at);
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
        if (colon != std::string::npos) fields[name] = line.substr(line.find_first_not_of(' ', colon + 1));
        at = line_end + 2;
      }
      if (fields.contains("content-length"))
        length = std::strtoul(fields["content-length"].c_str(), nullptr, 10);
    }
    if (end != std::string::npos && in.starts_with("POST") && held() >= kMaxSessions) {
      ++times_full;
      record(text("%s: full, answers 503 to %s; %zu of %zu bytes of its body have come", name_.c_str(),
                  fields["x-hop-id"].c_str(), std::min(length, in.size() - end - 4), length));
      if (!send_all(socket,
                    "HTTP/1.1 503 Service Unavailable\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n"))
        break;
      while (in.size() < end + 4 + length)
        if (!read_more(socket, in, end + 4 + length - in.size())) break;
      if (in.size() < end + 4 + length) break;
      in.erase(0, end + 4 + length);
      continue;
    }
    if (end == std::string::npos || in.size() < end + 4 + length) {
      if (!read_more(socket, in, end == std::string::npos ? kHeadBytes : end + 4 + length - in.size())) break;
      continue;
    }
    const auto method = in.substr(0, in.find(' '));
    const auto path_at = method.size() + 1;
    const auto path = in.substr(path_at, in.find(' ', path_at) - path_at);
    const auto body = in.substr(end + 4, length);
    in.erase(0, end + 4 + length);
    if (!send_all(socket, answer(method, path, fields, body))) break;
  }
  ::close(socket);
}

std::string Engine::answer(const std::string& method, const std::string& path,
                           const std::map<std::string, std::string>& fields, const std::string& body) {
  const auto unknown = [] {
    return std::string("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
  };
  if (method == "GET" && (path == "/busy" || path == "/ping")) {
    return text("HTTP/1.1 200 OK\r\nX-Report: inflight:%d\r\nContent-Length: 0\r\n\r\n", reported_.load());
  }
  if (method == "POST" && path == "/x") {
    auto query = std::make_shared<Query>();
    query->id = fields.contains("x-hop-id") ? fields.at("x-hop-id") : "";
    query->class_name = fields.contains("x-sort") ? fields.at("x-sort") : "";
    query->started = query->asked = now_ms();
    query->ends = query->started + number_in(body, "work_ms", 50);
    query->pages = pages_of(rows_of(query->id, number_in(body, "rows", 1)));
    {
      const std::lock_guard lock(mutex_);
      all_.push_back(query);
      known_[query->id] = query;
    }
    record(text("%s: run %s (%s): begins, %zu bytes", name_.c_str(), query->id.c_str(),
                query->class_name.c_str(), body.size()));
    return status(query->id);
  }
  if (!path.starts_with("/x/")) return unknown();
  const auto slash = path.find('/', 3);
  const auto id = path.substr(3, slash == std::string::npos ? slash : slash - 3);
  if (method == "DELETE") {
    const std::lock_guard lock(mutex_);
    const auto found = known_.find(id);
    if (found != known_.end() && found->second->over == 0) {
      found->second->how = "deleted";
      found->second->over = now_ms();
    }
    record(text("%s: DELETE %s", name_.c_str(), id.c_str()));
    if (found != known_.end()) known_.erase(found);
    return "HTTP/1.1 204 No Content\r\n\r\n";
  }
  const auto page = static_cast<std::size_t>(std::atoi(path.c_str() + slash + 1));
  if (page == 0) return status(id);
  const std::lock_guard lock(mutex_);
  const auto found = known_.find(id);
  if (found == known_.end() || found->second->how != "ended" || page >= found->second->pages.size())
    return unknown();
  const auto head = text("HTTP/1.1 200 OK\r\nX-Part-No: %zu\r\n", page);
  const auto& rows = found->second->pages[page];
  if (spoil) return spoil(head, rows, id);
  return head + text("Content-Length: %zu\r\n\r\n", rows.size()) + rows;
}

// The news of a query: its end, or after 250 ms a note of its progress.
std::string Engine::status(const std::string& id) {
  const auto until = now_ms() + kPollHoldMs;
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      const auto found = known_.find(id);
      const bool lost = found == known_.end() || (found->second->over > 0 && found->second->how != "ended");
      if (lost) return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
      auto& query = *found->second;
      const auto now = now_ms();
      query.asked = now;
      if (query.how == "ended") {
        const auto head = text("HTTP/1.1 200 OK\r\nX-Parts: %zu\r\n", query.pages.size());
        if (spoil) return spoil(head, query.pages[0], id);
        return head + text("Content-Length: %zu\r\n\r\n", query.pages[0].size()) + query.pages[0];
      }
      if (now >= until)
        return text(
            "HTTP/1.1 202 Accepted\r\nX-Tell: progress\r\nX-Amount: %.3f\r\nContent-Length: 0\r\n\r\n",
            (now - query.started) / (query.ends - query.started));
    }
    sleep_ms(2);
  }
}

// ---- client ----------------------------------------------------------------------------------------------
std::string frame(unsigned type, std::uint32_t stream, const std::string& payload) {
  return u32(static_cast<std::uint32_t>(5 + payload.size())) + std::string(1, static_cast<char>(type)) +
         u32(stream) + payload;
}

std::string request_payload(const std::string& class_name, const std::string& id, int wait_ms,
                            const std::string& tenant, const std::string& statement) {
  return std::string(1, '\4') + field("c", class_name) + field("i", id) +
         field("d", std::to_string(wait_ms)) + field("t", tenant) + statement;
}

std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  return text("%016llx", static_cast<unsigned long long>(random()));
}

Client::Client(std::uint16_t port) : socket_(connect_to(port)) {
  static std::atomic<int> last_number = 0;
  number_ = ++last_number;
  open_ = socket_ >= 0;
  if (open_) thread_ = std::thread([this] { read(); });
}

Client::~Client() {
  close();
  if (thread_.joinable()) thread_.join();
  if (socket_ >= 0) ::close(socket_);
}

void Client::close() {
  if (socket_ >= 0) ::shutdown(socket_, SHUT_RDWR);
}

std::size_t Client::request(const std::string& class_name, int wait_ms, const std::string& tenant,
                            const std::string& statement) {
  const std::lock_guard writing(write_mutex_);
  Sent sent;
  sent.id = new_id();
  sent.class_name = class_name;
  sent.wait_ms = wait_ms;
  sent.connection = number_;
  std::size_t place = 0;
  {
    const std::lock_guard lock(mutex_);
    sent.stream = ++last_stream_;
    place = requests_.size();
    by_stream_[sent.stream] = place;
    requests_.push_back(sent);
  }
  const bool whole =
      open_ && send_all(socket_, frame(2, sent.stream,
                                       request_payload(class_name, sent.id, wait_ms, tenant, statement)));
  const std::lock_guard lock(mutex_);
  requests_[place].whole = whole;
  requests_[place].at = now_ms();
  record(text("client %d: sent %s (%s, stream %u, %zu bytes of statement)%s", number_, sent.id.c_str(),
              class_name.c_str(), sent.stream, statement.size(), whole ? "" : ": not whole"));
  return place;
}

bool Client::ready() {
  readiness_ = -1;
  {
    const std::lock_guard writing(write_mutex_);
    if (!open_ || !send_all(socket_, frame(16, 0, std::string(1, '\0')))) return false;
  }
  for (int i = 0; i < 100 && open_ && readiness_ < 0; ++i) sleep_ms(5);
  return readiness_ == 0;
}

std::vector<Sent> Client::requests() {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void Client::read() {
  std::string in;
  char buffer[65536];
  while (true) {
    const auto size = ::recv(socket_, buffer, sizeof buffer, 0);
    if (size <= 0) break;
    in.append(buffer, static_cast<std::size_t>(size));
    while (in.size() >= 4 && in.size() >= 4 + read_u32(in, 0)) {
      const auto length = read_u32(in, 0);
      const auto type = static_cast<unsigned char>(in[4]);
      const auto stream = read_u32(in, 5);
      const auto payload = in.substr(9, length - 5);
      in.erase(0, 4 + length);
      if (type == 64) record(text("client %d: type 64, no new request here", number_));
      if (type == 32 && !payload.empty()) readiness_ = payload[0];
      if (type != 4 || payload.size() < 2) continue;
      std::size_t at = 2;
      for (int left = payload[1]; left > 0; --left) {
        at += 1 + static_cast<unsigned char>(payload[at]);
        at += 2 + static_cast<std::size_t>(static_cast<unsigned char>(payload[at]) << 8 |
                                           static_cast<unsigned char>(payload[at + 1]));
      }
      Answer answer{payload[0], payload.substr(at), now_ms()};
      const std::lock_guard lock(mutex_);
      const auto found = by_stream_.find(stream);
      const auto id =
          found == by_stream_.end() ? "stream " + std::to_string(stream) : requests_[found->second].id;
      record(text("client %d: answer %d to %s, %zu bytes%s", number_, answer.code, id.c_str(),
                  answer.body.size(), stream == 0 ? (": " + answer.body).c_str() : ""));
      if (found != by_stream_.end()) requests_[found->second].answers.push_back(answer);
    }
  }
  closed_at_ = now_ms();
  open_ = false;
  record(text("client %d: connection has ended", number_));
}

// ---- router ----------------------------------------------------------------------------------------------
const char* const kClasses =
    R"([{"aim":800000000,"aim-stretch":1.5,"credit":1.0,"give-up":4000000000,"group":"all","late-share":0.1,"name":"lookup","semantics":"safe","stream":false,"window":5000000000},)"
    R"({"aim":2000000000,"aim-stretch":2.5,"credit":12.0,"give-up":25000000000,"group":"all","late-share":0.4,"name":"report","semantics":"safe","stream":false,"window":5000000000},)"
    R"({"aim":4000000000,"aim-stretch":3.0,"credit":6.0,"give-up":25000000000,"group":"all","late-share":0.6,"name":"plan-load","semantics":"unsafe","stream":false,"window":5000000000}])";

Router::Router(const Bus& bus, const std::string& classes, const std::string& more_settings,
               const Limits& limits) {
  const int socket = listen_on_loopback(port_);
  ::close(socket);
  const char* folder = std::getenv("CASE_FOLDER");  // temporary, made by run.sh
  if (folder == nullptr) std::exit(2);
  folder_ = folder;
  const auto path = folder_ + "/config.json";
  const auto settings =
      R"({"az":0,"balancers":3,"ceilings":{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":66666,"dial-timeout":250000000,"idle-close":30000000000,"max-attempts":3,"max-retry-after":500000000,"may-tell":false,"most-held":26666,"probing":true,"retry-after":true,"second-copies":false,"streams-per-conn":32},"classes":)" +
      classes +
      R"(,"clients":{"marks-retry":false},"family-info":{"class-waits":[true,true,false],"cpu-of-kind":[12],"grants":true,"loads":[false,false,true],"max-grant-share":0.4,"notes":"","out-of-memory":"overcommit","progress-pace":500000000,"ram-of-kind-mb":[24576.0],"report-x0":"","report-x1":"","takes-priority":false,"tells-cost":false,"width-by-class":[1,4,2]},"goal":{"whole":0.4,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.3},"kinds":["std-12c"],"me":0,"membership-mode":"pushed","over-share-worth":0.05,"prices":{"connection":0.0,"cross-zone":0.0,"handshake":0.0,"late-fail":0.08,"membership-mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.03},"report":{"fields":["busy_reqs"],"how":"pull"},"safety":{"ask-within":10000000000,"cold-from":0.33,"drain-grace":500000000,"fall":3000000000,"grace-to-answer":20000000,"ramp-time":14000000000,"tip-multiple":2.5},"step":5000000,"tenants":[{"name":"blue-sky-port","portion":0.54,"quota-rps":49.0},{"name":"khangai-field","portion":0.33,"quota-rps":30.0},{"name":"nomad-strip","portion":0.13,"quota-rps":12.0}],"tier":0,"tiers":["query-engines"],"value-by":"request","weights":"nominal","workload":"queries","zones":["ub-dc1"])" +
      more_settings + "}";
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr) std::exit(2);
  std::fprintf(
      file,
      R"({"name":"n0","listen":"127.0.0.1:%u","seed":"%s","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"bus":"127.0.0.1:%u","known":%s,"settings":%s})",
      static_cast<unsigned>(port_), new_id().c_str(), limits.memory_mb, limits.sockets,
      static_cast<unsigned>(bus.port()), bus.known().c_str(), settings.c_str());
  std::fclose(file);
  const char* command = std::getenv("RUN_COMMAND");
  if (command == nullptr) std::exit(2);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((folder_ + "/router.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("ROUTER_NAME", "n0", 1);
    ::setenv("ROUTER_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
    ::setenv("ROUTER_CONFIG", path.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
    ::_exit(127);
  }
  record(text("router: started, process %d, port %u", static_cast<int>(pid_), static_cast<unsigned>(port_)));
}

Router::~Router() {
  if (!running()) return;
  send_signal(SIGCONT);
  send_signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool Router::running() {
  if (ended_) return false;
  int status = 0;
  ended_ = ::waitpid(pid_, &status, WNOHANG) != 0;
  if (!ended_) return true;
  if (WIFSIGNALED(status))
    record(text("router: ended by signal %d (%s)", WTERMSIG(status), ::strsignal(WTERMSIG(status))));
  else
    record(text("router: ended with code %d", WEXITSTATUS(status)));
  return false;
}

void Router::send_signal(int number) const { ::kill(pid_, number); }

bool Router::wait_until_ready() {
  const auto until = now_ms() + 10000;
  while (now_ms() < until && running()) {
    Client client(port_);
    if (client.open() && client.ready()) return true;
    sleep_ms(50);
  }
  return false;
}

}  // namespace rig
