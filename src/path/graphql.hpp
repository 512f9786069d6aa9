// /graphql: one request of a client becomes statements, each a request of its own to the decision engine;
// their responses become one. What is decided here is what GraphQL asks for; when, where and whether a
// statement runs is the decision engine's alone.
//
// Failure guarded against: a client repeats a mutation whose response it did not get, and its effect happens
// twice. The response to a mutation is remembered under the client's idempotency key, and a repeat gets that
// response.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "graphql/documents.hpp"
#include "graphql/execute.hpp"
#include "graphql/keys.hpp"
#include "graphql/over_http.hpp"
#include "path/shard.hpp"

namespace heronwell::path {

// What all shards share.
class Graphql {
 public:
  Graphql(const Config& config, std::shared_ptr<const graphql::Bound> bound, graphql::Clock now);

  [[nodiscard]] const Config::Graphql& config() const { return config_; }
  [[nodiscard]] const graphql::Bound& bound() const { return *bound_; }
  graphql::Documents& documents() { return *documents_; }
  [[nodiscard]] std::optional<std::uint32_t> tenant(std::string_view name) const;
  // Names of the header fields that the schema or the keys look at.
  [[nodiscard]] const std::vector<std::string>& headers() const { return headers_; }

  graphql::Keys::Found begin_key(const std::string& key, std::uint64_t fingerprint);
  void complete_key(const std::string& key, std::string answer);
  void forget_key(const std::string& key);

 private:
  const Config::Graphql& config_;
  graphql::Clock now_;
  std::vector<std::string> tenant_names_, headers_;
  std::shared_ptr<const graphql::Bound> bound_;
  std::unique_ptr<graphql::Documents> documents_;
  std::mutex mutex_;
  graphql::Keys keys_;
};

// `name`: for errors. Throws yaml::Error, "NAME:LINE:COLUMN: what" a line, where the schema is wrong.
std::unique_ptr<graphql::Bound> bind_schema(const Config& config, std::string_view text,
                                            const std::string& name);

// What a statement that was not served is to the field that asked. `client_key`: the client named an
// idempotency key, so that its own repeat of the statement will carry it again.
graphql::Trouble graphql_error_of(const router::Problem& problem, const ClassSettings& cls, bool client_key);

class GraphqlRequest final : public ResponseHandler, public std::enable_shared_from_this<GraphqlRequest> {
 public:
  using Headers = std::map<std::string, std::string, std::less<>>;
  GraphqlRequest(Shard& shard, Graphql& graphql, ClientRequestPtr client, graphql::HttpAsk ask,
                 Headers headers, Time timeout);
  ~GraphqlRequest() override;

  void start();
  void on_served(const ClientRequestPtr& client_request, AttemptResponse response) override;
  void on_failed(const ClientRequestPtr& client_request, const router::Problem& problem) override;
  void on_client_disconnected() override;

 private:
  struct OperationState {  // one operation of the request
    std::shared_ptr<const graphql::Prepared> prepared;
    std::unique_ptr<graphql::Execution> execution;
    std::string response, key;  // key: claimed in Keys
    std::shared_ptr<Origin> origin;
    bool executed = false, repeatable = false;
    [[nodiscard]] bool done() const { return !response.empty(); }
  };
  struct FinishedStatement {
    std::size_t operation = 0, call = 0;
    graphql::Reply reply;
  };

  void begin(OperationState& state, std::size_t number, const graphql::Operation& operation);
  bool claim_key(OperationState& state, const graphql::Operation& operation,
                 const graphql::Definition& definition);
  void reject(OperationState& state, const std::string& message, std::string_view code,
              std::string_view rule = {});
  void advance();
  void submit_statement(std::size_t operation, graphql::Call call);
  void finish_operation(OperationState& state);
  void respond();
  void on_statement_finished(const ClientRequestPtr& client_request, graphql::Reply reply);

  Shard& shard_;
  Graphql& graphql_;
  ClientRequestPtr client_;
  graphql::HttpAsk ask_;
  Headers headers_;
  Time deadline_;
  std::vector<OperationState> operations_;
  std::vector<std::pair<std::size_t, graphql::Call>> pending_calls_;
  std::vector<FinishedStatement> finished_statements_;
  std::map<std::size_t, ClientRequestPtr> open_statements_;  // statements in flight, by number
  std::size_t statement_count_ = 0;
  int status_ = 0;  // other than the media type's; 0: none
  Time retry_after_{};
  bool advancing_ = false, finished_ = false;
};

// Answers a request for /graphql, or has it answered.
void serve_graphql(Shard& shard, Graphql& graphql, const ClientRequestPtr& client_request,
                   const http::Parser& request, std::string_view body);

}  // namespace heronwell::path
