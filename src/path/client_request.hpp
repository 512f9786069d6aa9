// What the parts of this package hand each other: requests and attempts while they live, events for the
// decision loop, and commands from it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/json.hpp"
#include "fleet/endpoint_registry.hpp"
#include "path/environment.hpp"
#include "path/grouping.hpp"
#include "path/state_tables.hpp"
#include "router/json_rows.hpp"
#include "router/query_parser.hpp"
#include "router/request_registry.hpp"
#include "router/termination.hpp"
#include "sql/result.hpp"
#include "sql/session.hpp"
#include "sql/table.hpp"
#include "trace/trail.hpp"

namespace heronwell::path {

using config::Config;
using router::Ticket;

// A text as JSON, for log lines: quoted, with nothing in it that could end the line or the quotes.
inline std::string quoted(std::string_view text) {
  std::string out;
  put_json_text(out, text);
  return out;
}

// ---- events for the decision loop ------------------------------------------------------------------------
struct RequestReceived {
  router::RequestSpec spec;
};
struct ClientDisconnected {
  Ticket ticket = 0;
};
struct ResponseOverflowed {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};
struct AttemptProgressed {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
  ProgressKind kind = ProgressKind::progress;
  double amount = 0;
};
struct HealthCheckFinished {
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};
  std::vector<double> load;
};
struct EndpointsChanged {
  bool failed = false;
  std::vector<fleet::EndpointEntry> entries;
};
struct GossipReceived {
  std::uint32_t from_router = 0;
  std::string bytes;
};
using ShardEvent = std::variant<RequestReceived, ClientDisconnected, router::AttemptEnd, ResponseOverflowed,
                                AttemptProgressed, HealthCheckFinished, EndpointsChanged, GossipReceived>;
struct TimedEvent {
  Time at{};
  ShardEvent event;
};

// ---- commands for a shard --------------------------------------------------------------------------------
using EndpointMap = std::map<EngineId, fleet::KnownEndpoint>;
using SelectorsPtr = std::shared_ptr<const groups::Selectors>;
using ShardCommand = std::variant<router::Command, std::shared_ptr<const EndpointMap>, SelectorsPtr>;

// A ticket names its shard in its upper 8 bits; the others are a number that the shard gives once.
constexpr unsigned kTicketNumberBits = 56;
constexpr unsigned shard_of(Ticket ticket) { return static_cast<unsigned>(ticket >> kTicketNumberBits); }
constexpr Ticket make_ticket(unsigned shard, std::uint64_t number) {
  return static_cast<Ticket>(shard) << kTicketNumberBits | number;
}

class ClientConnection;
class EngineProtocol;

// The response of one attempt: JSON or a table, or the engine's own error.
struct AttemptResponse {
  std::string json;
  std::shared_ptr<sql::Table> table;  // if the request wants one
  std::string sqlstate, error;        // not empty: the statement's own fault
  bool truncated = false;             // cut off here, past the request's max_response_bytes
};

struct ClientRequest;
using ClientRequestPtr = std::shared_ptr<ClientRequest>;

// Who made a request, if that is not a client's HTTP connection: gets exactly one of these calls for each
// request that it handed to Shard::submit(), unless it called Shard::disconnect() before.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void on_served(const ClientRequestPtr& client_request,
                         AttemptResponse response) = 0;  // also the statement's own fault
  virtual void on_failed(const ClientRequestPtr& client_request, const router::Problem& problem) = 0;
  virtual void on_client_disconnected() = 0;  // its client has disconnected
  // Something that its client sent lies unread, and may say that it has disconnected.
  [[nodiscard]] virtual bool has_unread_input() { return false; }
};

// A request of a client, from its last byte to the last byte of its response.
struct ClientRequest {
  Ticket ticket = 0;                                  // 0: answered here, never submitted
  std::shared_ptr<ClientConnection> client;           // null: answered to the handler alone
  std::shared_ptr<ResponseHandler> response_handler;  // beside a client: who makes its response
  std::shared_ptr<const sql::Statement> statement;
  std::size_t max_response_bytes = 0;                // of rows, for a handler; 0: rows are wanted as JSON
  std::size_t call_index = 0, statement_number = 0;  // the handler's own numbers
  ClassIndex class_index = 0;
  std::uint32_t tenant = 0;
  Time received_at{}, deadline{};
  bool keep_alive = true, head_only = false;
  ResponseState response_state = ResponseState::pending;
  std::string client_request_id, idempotency_key;  // as its client named it, and its repeats, where it did
  std::string buffered_response;                   // while earlier responses of the connection are incomplete
  std::map<AttemptIndex, AttemptResponse> responses;
  unsigned attempts = 0;
  EngineId engine = 0;    // of the last attempt
  trace::TrailPtr trail;  // null: not traced
  trace::SpanId span = 0;
  std::string trace_response, field;          // field: of a statement
  std::shared_ptr<Origin> origin;             // null: no groups
  std::string group;                          // its path
  groups::Limit limit = groups::Limit::none;  // of the group, that ended it
  Time queued_since{}, streaming_since{};

  [[nodiscard]] bool finished() const { return response_state == ResponseState::complete; }
  [[nodiscard]] bool streaming() const { return response_state == ResponseState::streaming; }
};
struct Attempt {
  Ticket ticket = 0;  // 0: a health check
  AttemptIndex number = 0;
  EngineId engine = 0;
  Time commanded_at{}, deadline{}, first_byte_sent_at{};  // zero: no byte of the statement went out
  Time start_before = Time::max();  // engines recognise a repeat until then: it does not start after
  bool on_new_connection = false;   // on a connection opened for it
  ClientRequestPtr request;
  std::shared_ptr<const sql::Statement> statement;
  std::vector<std::pair<std::string, std::string>> settings;
  AttemptState state = AttemptState::created;
  router::JsonRows rows;
  AttemptResponse response;
  std::optional<Time> work;
  double memory_mb = 0;
  std::vector<double> load;
  std::weak_ptr<EngineProtocol> connection;
  TimerPtr timeout_timer;  // of a health check

  // Where a query outlives its connection (the platform's calls): how far it has come.
  config::Address address;                 // where it was sent
  double memory_limit_mb = 0;              // granted; 0: the engine's own choice
  unsigned page_count = 0, next_page = 0;  // of the result: all, once known; the next one to ask for
  unsigned reconnects = 0;                 // connections opened after one was lost
  Time last_polled_at{};                   // when the engine was last asked for it
  bool client_input_checked = false;       // it has waited until its client's input was read
  unsigned pending_connections = 0;        // connections that are being opened to start it
  Time connect_deadline{};                 // until when one of them must have come up

  // Nothing of its response is of use any more.
  [[nodiscard]] bool response_unwanted() const {
    return state == AttemptState::cancelling || state == AttemptState::finished;
  }
};
using AttemptPtr = std::shared_ptr<Attempt>;

}  // namespace heronwell::path
