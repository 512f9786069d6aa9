// A Shard serves client connections, engine connections and the requests and attempts between them on one
// thread.
//
// The shard that reads a request keeps it and its attempts until they end, so a response never crosses
// threads. Only events and commands are exchanged with the decision loop (decision_loop.hpp), through the
// ShardEnvironment. The shard makes no decision about admission, engines or retries: it executes commands and
// reports their results.
//
// Each part of the state has exactly one owner:
//   engine_pool.hpp        idle and busy connections to engines
//   descriptor_budget.hpp  limits on open connections, attempts that wait for a descriptor, and client
//                          connections that are closed to free one
//   query_deletions.hpp    queries that engines still have to delete, and attempts that wait for a deletion
//   open_requests.hpp      the open requests, by ticket and by the client's request id
//   stall_detector.hpp     detection of stalls, after which input may have been waiting unread
//   buffer_limit.hpp       the number of bytes buffered for all clients and engines of the shard
//   response_delivery.hpp  delivery of final responses (stateless)
// The shard connects these parts. It owns the client connections, and each attempt from its dispatch command
// until its end.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "path/buffer_limit.hpp"
#include "path/client_request.hpp"
#include "path/descriptor_budget.hpp"
#include "path/engine_pool.hpp"
#include "path/metrics.hpp"
#include "path/open_requests.hpp"
#include "path/protocols.hpp"
#include "path/query_deletions.hpp"
#include "path/response_delivery.hpp"
#include "path/stall_detector.hpp"
#include "trace/tracer.hpp"

namespace heronwell::path {

class Graphql;
class CancelRequest;

class Shard {
 public:
  // `index` is the index of this shard, less than `shard_count`; it is stored in each ticket. All referenced
  // objects must outlive the shard.
  Shard(ShardEnvironment& environment, const Config& config, Metrics& metrics,
        const router::QueryParser& query_parser, trace::Tracer& tracer, unsigned index, unsigned shard_count);
  ~Shard();

  // ---- startup and shutdown
  // Enables GraphQL requests from now on.
  void serve(Graphql& graphql) { graphql_ = &graphql; }
  // Serves a client that has connected from `address`, which group selectors may match.
  void serve(StreamPtr stream, std::string address);
  // Executes the decision loop's commands in order.
  void execute(std::vector<ShardCommand>& commands);
  // Rejects new HTTP requests and closes HTTP connections when they become idle. Frames are still served
  // until begin_shutdown().
  void stop_serving() { stopping_ = true; }
  // Starts the shutdown of the process: stops reading from clients and closes each client connection in an
  // orderly way after its last response is written.
  void begin_shutdown();
  [[nodiscard]] bool shutdown_complete() const { return clients_.empty() && deletions_.size() == 0; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  // True if the shard is not stopping and at least one engine accepts work.
  [[nodiscard]] bool ready() const { return !stopping_ && pools_.any_accepts_work(); }

  // ---- requests
  // Sends a request to the decision loop. Rejects it at once if no group admits it, if the buffer limit is
  // exceeded, or if the limit on open requests is reached.
  void submit(const ClientRequestPtr& request, router::RequestSpec spec);
  // Rejects a request whose frame has not arrived completely, because the buffer limit is exceeded. The
  // request was never submitted, so the client may retry it.
  void reject_incomplete(const ClientRequestPtr& request, const router::RequestSpec& spec);
  // Ends an open request whose client has disconnected or has cancelled it.
  void disconnect(const ClientRequestPtr& request);
  // Records the end of a request in metrics, trace and log. `status` is the HTTP status, or 0 if no response
  // was sent.
  void record_finished(const ClientRequestPtr& request, router::Termination end, int status) {
    responses_.record_finished(request, end, status);
  }
  // Returns null if the request is not open.
  [[nodiscard]] ClientRequestPtr find_request(Ticket ticket) const { return requests_.find(ticket); }
  // Removes the request from the open requests. An attempt of it that waits for a deletion ends without
  // having started.
  void forget_request(const ClientRequestPtr& request);
  [[nodiscard]] bool request_id_open(const std::string& id) const { return requests_.id_open(id); }
  // Must be called for a request that ends without proof that it never ran.
  void remember_possibly_ran(const ClientRequest& request);
  // True if a non-idempotent request with this id has ended and an attempt of it may have run. It is remembered
  // until the deadline of the request.
  [[nodiscard]] bool may_have_run(const std::string& id) const { return deletions_.may_have_run(id); }
  [[nodiscard]] std::size_t open_count() const { return requests_.size(); }

  // ---- attempts, for the connections that carry them
  // Returns true if the attempt may still start: its request is open, its deadline has not passed, and
  // neither has the time until which engines deduplicate a retry of it (`start_before`).
  //
  // The forwarding rules of the decision engine check the same conditions before they dispatch the attempt.
  // They are checked again immediately before the first byte is sent, because the command has crossed threads
  // in the meantime and the attempt may have waited for a connection, a descriptor, a deletion or the end of
  // a stall of this thread. Without this check a query could run for a client that has disconnected, or run a
  // second time because the engine no longer remembers the first run. No other work of the thread runs
  // between this check and the first byte.
  [[nodiscard]] bool may_start(const Attempt& attempt) const {
    const auto now = this->now();
    return (attempt.ticket == 0 || requests_.contains(attempt.ticket)) && now < attempt.deadline &&
           now <= attempt.start_before;
  }
  // Ends the attempt with the result observed on its connection. `code` is the engine's SQLSTATE. Does
  // nothing if the attempt has already ended.
  void end_attempt(const AttemptPtr& attempt, sql::StatementResult observed, std::string_view code = {},
                   bool cancelled = false);
  void end_attempt(const AttemptPtr& attempt, AttemptResult result);
  // Returns true if the attempt must not start before input of its client has been read. It is launched then.
  bool defer_until_input_read(const AttemptPtr& attempt);
  // Opens another connection for an attempt whose first connection is slow to open, if a descriptor is
  // available.
  void open_second_connection(const AttemptPtr& attempt);
  // Opens a new connection to poll for the result of an attempt whose connection was lost while its query may
  // still be running.
  void resume_polling(const AttemptPtr& attempt);
  // Requests the deletion of the attempt's query from the engine. The attempt ends with `result` when the
  // deletion is over. Until then it counts as in flight, so the decision engine starts no other attempt of
  // its request.
  void delete_query(const AttemptPtr& attempt, AttemptResult result);
  // Called when the deletion with this connection number is over.
  void query_deleted(std::uint64_t number, const AttemptPtr& attempt, AttemptResult result);
  void report_progress(const AttemptPtr& attempt, ProgressKind kind, double amount);
  void report_progress(const AttemptPtr& attempt, const sql::ErrorText& notice);
  // Handles a parameter that the engine reported on the attempt's connection. Stores load reports and ignores
  // all other parameters.
  void handle_engine_parameter(const AttemptPtr& attempt, std::string_view name, std::string_view value);
  // Sends a cancel request to the engine at `address` for the connection that `process` and `secret`
  // identify.
  void request_cancel(const config::Address& address, std::uint32_t process, std::uint32_t secret);

  // ---- connections and limits
  // Returns the pool of the engine, or null: see EnginePools::find().
  EnginePool* pool(EngineId id) { return pools_.find(id); }
  // The maximum number of connections of this shard to one engine or, on the platform, to all engines.
  [[nodiscard]] std::size_t pool_cap() const { return descriptors_.max_engine_connections(); }
  void wait_for_descriptor(const AttemptPtr& attempt) { descriptors_.wait(attempt); }
  void descriptor_freed() { descriptors_.descriptor_freed(); }
  [[nodiscard]] bool can_accept_client() { return descriptors_.can_accept_client(); }
  void free_client_descriptor() { descriptors_.free_client_descriptor(); }
  [[nodiscard]] bool can_open_deletion() const { return deletions_.can_open_connection(); }
  // See BufferLimit.
  [[nodiscard]] const BufferAccountPtr& buffer_account() const { return buffer_limit_.account(); }
  void enforce_buffer_limit() { buffer_limit_.enforce(); }
  // Rejects a request of which a part has arrived, because of that limit.
  void reject_for_memory(const ClientRequestPtr& request, const router::Problem& problem);
  // The earliest time at which the input that is read now may have arrived: see StallDetector. Deadlines are
  // measured from this time.
  Time input_waiting_since() { return stall_detector_.input_waiting_since(now()); }
  std::uint64_t next_connection_number() { return ++last_connection_number_; }
  // Called by a connection as its last action after it has closed.
  void remove_client(std::uint64_t number) { clients_.erase(number); }
  void remove_cancel_request(std::uint64_t number) { cancel_requests_.erase(number); }

  // ---- services shared by the parts of the shard
  // Sends an event to the decision loop, stamped with the current time.
  void publish(ShardEvent event) { environment_.publish(TimedEvent{now(), std::move(event)}); }
  ShardEnvironment& environment() { return environment_; }
  [[nodiscard]] Time now() const { return environment_.now(); }
  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] const router::QueryParser& query_parser() const { return query_parser_; }
  Metrics& metrics() { return metrics_; }
  trace::Tracer& tracer() { return tracer_; }
  Graphql* graphql() { return graphql_; }                                     // null if disabled
  [[nodiscard]] const SelectorsPtr& selectors() const { return selectors_; }  // null if there are no groups

  // State that the explorer includes in its model state: counts of requests, attempts and connections, and
  // the times kept by the stall detector.
  struct Counts {
    std::size_t requests = 0, attempts = 0, idle_connections = 0, cancel_requests = 0;
    Time last_run_at{}, suspect_from{}, suspect_until{};  // see StallDetector
  };
  [[nodiscard]] Counts counts() const;

 private:
  void on(const router::DispatchAttempt& command);
  void on(const router::StopAttempt& command);
  void on(const router::DeliverResponse& command) { responses_.deliver(command); }
  void on(const router::BeginStream& command);
  void on(const router::AbortStream& command) { responses_.abort_stream(command); }
  void on(const router::FinishRequest& command) { responses_.finish(command); }
  void on(const router::RunHealthCheck& command);

  void set_terms(ClientRequest& request, const router::RequestSpec& spec);
  [[nodiscard]] bool choose_group(const ClientRequestPtr& request, router::RequestSpec& spec);
  void reject_at_limit(const ClientRequestPtr& request, std::string reason);
  void reject_for_memory(const ClientRequestPtr& request);
  [[nodiscard]] AttemptPtr make_attempt(const router::DispatchAttempt& command,
                                        const ClientRequestPtr& request) const;
  void launch(const AttemptPtr& attempt);
  void connect(EnginePool& pool, const AttemptPtr& attempt);
  bool drop_waiting(const AttemptPtr& attempt);
  void finish_attempt(const AttemptPtr& attempt, AttemptResult result);
  void tick();
  void sweep();
  void report_buffers();  // updates metrics, and logs rejections at the buffer limit

  ShardEnvironment& environment_;
  const Config& config_;
  Metrics& metrics_;
  const router::QueryParser& query_parser_;
  trace::Tracer& tracer_;
  Graphql* graphql_ = nullptr;
  SelectorsPtr selectors_;
  std::vector<std::string> tenant_names_;  // by index

  StallDetector stall_detector_;
  BufferLimit buffer_limit_;
  OpenRequests requests_;
  EnginePools pools_;
  std::map<std::pair<Ticket, AttemptIndex>, AttemptPtr> attempts_;  // in flight or waiting
  std::vector<AttemptPtr> deferred_attempts_;                       // until client input is read
  ClientMap clients_;
  std::map<std::uint64_t, std::shared_ptr<CancelRequest>> cancel_requests_;  // by connection number
  QueryDeletions deletions_;
  DescriptorBudget descriptors_;
  ResponseDelivery responses_;

  std::uint64_t last_connection_number_ = 0;
  bool stopping_ = false, shutting_down_ = false;
  TimerPtr tick_timer_;
  unsigned ticks_ = 0;
};

}  // namespace heronwell::path
