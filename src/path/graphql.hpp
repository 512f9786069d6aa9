// Serves /graphql. A client's request is translated into statements, each of which is submitted to the
// decision engine as a separate request. Their responses are combined into one. This code only determines
// which statements a GraphQL request needs; the decision engine decides if, when and where they run.
//
// A client may retry a mutation whose response it did not receive, and the effect must not happen twice. The
// response to a mutation is therefore stored under the client's idempotency key, and a retry gets the stored
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

// The GraphQL state that all shards share. Accesses to the idempotency keys are synchronised.
class Graphql {
 public:
  Graphql(const Config& config, std::shared_ptr<const graphql::Bound> bound, graphql::Clock now);

  [[nodiscard]] const Config::Graphql& config() const { return config_; }
  [[nodiscard]] const graphql::Bound& bound() const { return *bound_; }
  graphql::Documents& documents() { return *documents_; }
  [[nodiscard]] std::optional<std::uint32_t> tenant(std::string_view name) const;
  // Names of the header fields that the schema or the idempotency keys use.
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

// Binds the schema in `text` to the classes of the configuration. `name` is used in error messages. Throws
// yaml::Error with one line "NAME:LINE:COLUMN: what" for each error in the schema.
std::unique_ptr<graphql::Bound> bind_schema(const Config& config, std::string_view text,
                                            const std::string& name);

// Returns the GraphQL error for a field whose statement was not served. `client_key` is true if the client
// sent an idempotency key, which its own retry of the statement will carry again.
graphql::Trouble graphql_error_of(const router::Problem& problem, const ClassSettings& cls, bool client_key);

// Executes one GraphQL request of a client: submits its statements to the shard, collects their results and
// sends the combined response.
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
  struct OperationState {  // the state of one operation of the request
    std::shared_ptr<const graphql::Prepared> prepared;
    std::unique_ptr<graphql::Execution> execution;
    std::string response, key;  // key: claimed idempotency key, or empty
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
  std::map<std::size_t, ClientRequestPtr> open_statements_;  // by statement number
  std::size_t statement_count_ = 0;
  int status_ = 0;  // overrides the status of the media type unless 0
  Time retry_after_{};
  bool advancing_ = false, finished_ = false;
};

// Handles a request for /graphql: responds at once to pages and invalid requests, and starts a GraphqlRequest
// for all others.
void serve_graphql(Shard& shard, Graphql& graphql, const ClientRequestPtr& client_request,
                   const http::Parser& request, std::string_view body);

}  // namespace heronwell::path
