// The platform's sides in a small world: its clients' frames, and engines that run queries no connection
// owns. An attempt is out until its engine has ended it or given it up, whatever becomes of the connections.
#include <fmt/format.h>

#include "base/bytes.hpp"
#include "explore/model_parts.hpp"

namespace heronwell::explore {
namespace {

using namespace std::chrono_literals;
constexpr Time kForgets = 2s;  // an engine gives up what was not asked for

// Ids of 16 hex digits stand for the short ones of the scripts.
std::string hop_of(const std::string& id) {
  std::string out;
  for (const char c : id) out += fmt::format("{:02x}", static_cast<unsigned char>(c));
  return std::string(16 - out.size(), '0') + out;
}
std::string id_of(std::string_view hop) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hop.size(); i += 2)
    if (hop.substr(i, 2) != "00")
      out += static_cast<char>(std::stoi(std::string(hop.substr(i, 2)), nullptr, 16));
  return out;
}

std::string_view behind(std::string_view head, std::string_view name) {
  const auto at = head.find(name);
  if (at == std::string_view::npos) return {};
  const auto rest = head.substr(at + name.size());
  return rest.substr(0, rest.find_first_of("\r /"));
}

std::string response(const std::string& head, const std::string& body = "") {
  return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", head, body.size(), body);
}

}  // namespace

config::Config platform_config(const ModelPlan& plan, Time window) {
  const auto cls = [](const char* name, const char* effect) {
    return fmt::format(R"({{"name":"{}","aim":300000000,"give-up":1000000000,"semantics":"{}")", name,
                       effect);
  };
  return config::read_platform(
      fmt::format(R"({{"name":"n0","listen":"127.0.0.1:9","seed":"5","bus":"127.0.0.2:8",
"known":{{"offset":0,"batch":[]}},"limits":{{"sockets":64,"memory_mb":16}},"settings":{{"balancers":1,
"classes":[{}}},{}}},{},"window":{}}}],"kinds":["small"],"zones":["east"],
"ceilings":{{"max-attempts":3,"cancel":true,"retry-after":true,"max-retry-after":500000000}},
"safety":{{"drain-grace":250000000}},"family-info":{{"cpu-of-kind":[4]}}}}}})",
                  cls("lookup", "safe"), cls("load", "unsafe"), cls("booking", "keyed"), window.count()),
      plan.name);
}

std::string Model::request_frame(const Asked& asked, std::uint32_t stream) {
  const auto statement = fmt::format("select x /*hw id={} */", asked.id);
  std::string payload;
  const auto wait = std::to_string(asked.timeout.count());
  const std::array<std::pair<std::string_view, std::string>, 4> fields{
      {{"c", asked.cls},
       {"i", hop_of(asked.id)},
       {"d", wait},
       {"k", asked.cls == "booking" ? asked.id : ""}}};
  put_u8(payload, static_cast<unsigned>(fields.size()));
  for (const auto& [name, value] : fields) {
    put_u8(payload, static_cast<unsigned>(name.size()));
    payload += name;
    put_u16(payload, static_cast<unsigned>(value.size()));
    payload += value;
  }
  payload += statement;
  std::string out;
  put_u32(out, static_cast<std::uint32_t>(5 + payload.size()));
  put_u8(out, 2);
  put_u32(out, stream);
  return out + payload;
}

void Model::client_reads_frames(WireState& wire, std::string_view bytes) {
  auto& client = clients_[wire.peer];
  footprint_.add(Footprint::properties);
  if (client.left) return;
  client.in += bytes;
  const auto& script = setting_.plan.clients[wire.peer];
  while (client.in.size() >= 4) {
    ByteReader in(client.in);
    const auto length = in.u32();
    if (client.in.size() < 4 + length) return;
    const auto type = in.u8();
    const auto stream = in.u32();
    const std::string payload(in.take(length - 5));
    client.in.erase(0, 4 + length);
    if (type != 4 || stream == 0) continue;  // belongs to no request
    if (payload.size() < 2) return properties_.answer_unreadable(wire.peer);
    if (stream > client.sent || properties_.whole(script[stream - 1].id))
      return properties_.answer_unasked(wire.peer);
    const auto& id = script[stream - 1].id;
    ++client.answered;
    properties_.answer_begun(id, payload[0] == 0 ? 200 : payload[0] == 1 ? 503 : 502, now_);
    properties_.answer_whole(id, payload.substr(2), now_);
  }
}

void Model::engine_reads_calls(WireState& wire) {
  auto& s = wire.session;
  footprint_.add(Footprint::properties);
  forget_unasked();
  while (true) {
    const auto end = s.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const auto head = s.in.substr(0, end + 2);
    const auto told = behind(head, "Content-Length: ");
    const auto size = told.empty() ? 0 : std::stoul(std::string(told));
    if (s.in.size() < end + 4 + size) return;
    s.in.erase(0, end + 4 + size);
    if (std::exchange(s.rejected_early, false)) continue;
    ++s.statements;
    s.posted = head.starts_with("POST");
    if (head.starts_with("DELETE")) {
      s.removes = id_of(behind(head, "/x/"));
      continue;
    }
    const auto id = id_of(s.posted ? behind(head, "X-Hop-Id: ") : behind(head, "/x/"));
    if (s.posted) {
      properties_.statement_sent({id, wire.id, wire.peer, s.running, !wire.to_router.empty(), now_});
      check_begun_for_somebody(id);
      queries_[{wire.peer, id}] = {wire.id, now_, false};
    } else if (const auto found = queries_.find({wire.peer, id}); found != queries_.end()) {
      found->second.asked = now_;
    }
    s.running = id;
  }
}

// A start that goes out once the router has read the end of its client's connection is for nobody.
void Model::check_begun_for_somebody(const std::string& id) {
  for (const auto& client : clients_) {
    const auto& wire = *wires_[client.wire];
    if (!wire.gone) continue;
    for (const auto& asked : setting_.plan.clients[wire.peer])
      if (asked.id == id) properties_.begun_for_nobody(id);
  }
}

void Model::query_over(std::uint16_t engine, const std::string& id, bool proven_unrun) {
  const auto found = queries_.find({engine, id});
  if (found == queries_.end() || found->second.ended) return;
  properties_.attempt_over(id, found->second.wire, proven_unrun);
  if (proven_unrun) properties_.never_began(id);
  found->second.ended = true;
}

void Model::forget_unasked() {
  for (const auto& [key, query] : queries_)
    if (!query.ended && now_ > query.asked + kForgets) query_over(key.first, key.second, false);
  std::erase_if(queries_, [this](const auto& one) { return now_ > one.second.asked + kForgets; });
}

void Model::process_gone(std::uint16_t engine) {
  for (const auto& [key, query] : queries_)
    if (key.first == engine) query_over(engine, key.second, false);
  std::erase_if(queries_, [engine](const auto& one) { return one.first.first == engine; });
}

void Model::answer_call(WireState& wire, EngineReply how) {
  auto& s = wire.session;
  footprint_.add(Footprint::properties);
  forget_unasked();
  const bool known = queries_.contains({wire.peer, s.running});
  if (how == EngineReply::turned_away || how == EngineReply::error || !known) {
    const bool full = how == EngineReply::turned_away;
    wire.to_router += response(full ? "503 Full\r\nX-No-Effect: 1" : "500 Error");
    query_over(wire.peer, s.running, full);
    queries_.erase({wire.peer, s.running});
  } else {
    auto all = response("200 OK\r\nX-Parts: 1",
                        fmt::format("{}\tb\tc\n", setting_.plan.liar ? "another" : s.running));
    if (how == EngineReply::half) {
      s.half = all.substr(all.size() / 2);
      wire.to_router += all.substr(0, all.size() / 2);
      return;
    }
    if (how == EngineReply::blocked && !queries_[{wire.peer, s.running}].ended) {
      wire.to_router += response("202 Accepted\r\nX-Tell: blocked\r\nX-Amount: 2");
      return s.running.clear();  // the query runs on
    }
    wire.to_router += all;
    query_over(wire.peer, s.running, false);
  }
  s.running.clear();
}

void Model::removal_read(WireState& wire) {
  auto& s = wire.session;
  forget_unasked();
  s.cancel_read = true;
  query_over(wire.peer, s.removes, false);
  queries_.erase({wire.peer, s.removes});
  wire.to_router += "HTTP/1.1 204 No Content\r\n\r\n";
}

}  // namespace heronwell::explore
