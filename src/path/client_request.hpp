// Defines the types that the parts of this package exchange: client requests and their attempts, events sent
// to the decision loop, and commands received from it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/json.hpp"
#include "calls/paged_result.hpp"
#include "fleet/endpoint_registry.hpp"
#include "path/buffer_account.hpp"
#include "path/environment.hpp"
#include "path/grouping.hpp"
#include "path/state_tables.hpp"
#include "path/unread_input.hpp"
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

// Returns `text` as a quoted JSON string for log lines. Quotes and line ends in the text are escaped.
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

// The upper 8 bits of a ticket are the index of its shard. The lower 56 bits are a number that the shard
// assigns only once.
constexpr unsigned kTicketNumberBits = 56;
constexpr unsigned shard_of(Ticket ticket) { return static_cast<unsigned>(ticket >> kTicketNumberBits); }
constexpr Ticket make_ticket(unsigned shard, std::uint64_t number) {
  return static_cast<Ticket>(shard) << kTicketNumberBits | number;
}

class ClientConnection;
class ClientProtocol;
class EngineProtocol;

// The response of one attempt: JSON, a table, or an error reported by the engine.
struct AttemptResponse {
  std::string json;
  std::shared_ptr<sql::Table> table;  // set if the request asks for a table
  std::string sqlstate, error;        // not empty if the statement itself failed
  bool truncated = false;             // cut off because it exceeded max_response_bytes
  BufferedBytes bytes;                // of a result from the platform's engines
};

struct ClientRequest;
using ClientRequestPtr = std::shared_ptr<ClientRequest>;

// Receives the result of a request whose response does not go directly to a client's HTTP connection.
// Exactly one of on_served() and on_failed() is called for each request passed to Shard::submit(), unless
// Shard::disconnect() was called for the request before.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void on_served(const ClientRequestPtr& client_request,
                         AttemptResponse response) = 0;  // also called if the statement itself failed
  virtual void on_failed(const ClientRequestPtr& client_request, const router::Problem& problem) = 0;
  virtual void on_client_disconnected() = 0;
};

// A client's request, from the arrival of its last byte until the last byte of its response is sent.
struct ClientRequest {
  Ticket ticket = 0;                                  // 0 if it was never submitted
  std::shared_ptr<ClientConnection> client;           // null if only the handler gets the response
  std::weak_ptr<ClientProtocol> connection;           // on which the request arrived
  std::shared_ptr<ResponseHandler> response_handler;  // with a client: builds the client's response
  std::shared_ptr<const sql::Statement> statement;    // null once no attempt of it starts any more
  std::size_t max_response_bytes = 0;  // limit for rows as a table; 0: rows are returned as JSON
  std::size_t call_index = 0, statement_number = 0;  // assigned by the handler
  ClassIndex class_index = 0;
  std::uint32_t tenant = 0;
  Time received_at{}, deadline{};
  bool keep_alive = true, head_only = false;
  ResponseState response_state = ResponseState::pending;
  std::string client_request_id, idempotency_key;  // of this request; of it and its retries; or empty
  std::string buffered_response;                   // held until earlier responses are complete
  std::map<AttemptIndex, AttemptResponse> responses;
  unsigned attempts = 0;
  EngineId engine = 0;    // engine of the last attempt
  trace::TrailPtr trail;  // the spans of the request; null if it is not traced
  trace::SpanId span = 0;
  std::string trace_response, field;          // field: GraphQL field of a statement
  std::shared_ptr<Origin> origin;             // null if there are no groups
  std::string group;                          // path of the group
  groups::Limit limit = groups::Limit::none;  // the group limit that ended the request
  Time queued_since{}, streaming_since{};

  [[nodiscard]] bool finished() const { return response_state == ResponseState::complete; }
  [[nodiscard]] bool streaming() const { return response_state == ResponseState::streaming; }
};

// One attempt to run the statement of a request, or of a health check, on one engine.
struct Attempt {
  Ticket ticket = 0;  // 0 for a health check
  AttemptIndex number = 0;
  EngineId engine = 0;
  Time commanded_at{}, deadline{}, first_byte_sent_at{};  // first_byte_sent_at: zero if not sent
  Time start_before = Time::max();  // end of the engines' deduplication window; no start after it
  bool on_new_connection = false;   // the connection was opened for this attempt
  ClientRequestPtr request;
  std::shared_ptr<const sql::Statement> statement;  // null once a query call has copied it
  std::vector<std::pair<std::string, std::string>> settings;
  AttemptState state = AttemptState::created;
  router::JsonRows rows;
  AttemptResponse response;
  std::optional<Time> work;
  double memory_mb = 0;
  std::vector<double> load;
  std::weak_ptr<EngineProtocol> connection;
  TimerPtr timeout_timer;  // set for health checks only

  // Progress of a query call. On the platform a query may outlive its connection.
  config::Address address;           // the address the query was sent to
  double memory_limit_mb = 0;        // memory grant; 0: the engine's default
  calls::PagedResult result;         // pages received so far
  unsigned reconnects = 0;           // connections opened after a loss
  Time last_polled_at{};             // time of the last poll
  UnreadInputWait input_wait;        // for unread input of the client, before the start
  unsigned pending_connections = 0;  // connections being opened for the start
  Time connect_deadline{};           // time limit for opening a connection

  // True if the response of this attempt will be discarded.
  [[nodiscard]] bool response_unwanted() const {
    return state == AttemptState::cancelling || state == AttemptState::finished;
  }
};
using AttemptPtr = std::shared_ptr<Attempt>;

}  // namespace heronwell::path
