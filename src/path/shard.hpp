// What one thread serves: client connections, engine connections, and the requests and attempts between them.
//
// A request lives on the shard that read it, and so do its attempts: its response crosses no thread. Only
// events and commands go to and from the decision loop (decision_loop.hpp), by the ShardEnvironment. The
// shard decides nothing about admission, engines or retries: it executes commands and reports what came of
// them.
//
// The state of a shard is kept by parts, each its only owner:
//   engine_pool.hpp        connections to engines, idle and busy
//   descriptor_budget.hpp  who may open a connection, attempts that wait, clients closed for others
//   query_deletions.hpp    queries that engines have yet to delete, and attempts that wait for that
//   open_requests.hpp      the requests that are open, by ticket and by their client's id
//   stall_detector.hpp     whether what is read now may be old
//   buffer_limit.hpp       bytes that all clients together have buffered here
//   response_delivery.hpp  how a request ends (no state)
// The shard joins them, owns the client connections, and owns the attempts from their command to their end.
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
  // `index`: of this shard, below `shard_count`; tickets carry it. All references outlive the shard.
  Shard(ShardEnvironment& environment, const Config& config, Metrics& metrics,
        const router::QueryParser& query_parser, trace::Tracer& tracer, unsigned index, unsigned shard_count);
  ~Shard();

  // ---- life of the shard
  // Serves GraphQL requests too, from now on.
  void serve(Graphql& graphql) { graphql_ = &graphql; }
  // Serves a client that has connected from `address`, which the selectors of groups may look at.
  void serve(StreamPtr stream, std::string address);
  // Carries out the decision loop's commands, in order.
  void execute(std::vector<ShardCommand>& commands);
  // No new HTTP requests; frames are still served until begin_shutdown(). HTTP connections close as they
  // fall idle.
  void stop_serving() { stopping_ = true; }
  // The process ends: nothing more is read, and each client's connection ends in order once all its responses
  // are written.
  void begin_shutdown();
  [[nodiscard]] bool shutdown_complete() const { return clients_.empty() && deletions_.size() == 0; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  // An engine accepts work, and this router goes on serving.
  [[nodiscard]] bool ready() const { return !stopping_ && pools_.any_accepts_work(); }

  // ---- requests
  // Hands a request to the decision loop, or rejects it at once: by group, by memory, by the limit on open
  // requests.
  void submit(const ClientRequestPtr& request, router::RequestSpec spec);
  // The client of an open request has disconnected, or cancelled it.
  void disconnect(const ClientRequestPtr& request);
  // Counts, traces and logs the end of a request. `status`: of HTTP; 0: nothing was answered.
  void record_finished(const ClientRequestPtr& request, router::Termination end, int status) {
    responses_.record_finished(request, end, status);
  }
  // Null: not open (any more).
  [[nodiscard]] ClientRequestPtr find_request(Ticket ticket) const { return requests_.find(ticket); }
  // The request is open no more; an attempt of it that waits for a deletion never starts.
  void forget_request(const ClientRequestPtr& request);
  [[nodiscard]] bool request_id_open(const std::string& id) const { return requests_.id_open(id); }
  // A request of this id, not idempotent, was left by its client after an attempt of it may have run.
  [[nodiscard]] bool may_have_run(const std::string& id) const { return deletions_.may_have_run(id); }
  [[nodiscard]] std::size_t open_count() const { return requests_.size(); }

  // ---- attempts, for the connections that carry them
  // Whether the attempt may still start: its request is open, and neither its deadline nor the time until
  // which engines recognise a repeat of it has passed.
  //
  // The decision engine (its forwarding rules) has checked all of that before it commanded the attempt. It
  // must be checked here once more, right before the first byte goes out: the command has crossed threads
  // since, and the attempt may have waited for a connection, a descriptor, a deletion, or through a stall of
  // this thread. Without it, a query runs whose client has left, or twice, as the engine has forgotten its
  // first run. Here, nothing comes between the check and the byte.
  [[nodiscard]] bool may_start(const Attempt& attempt) const {
    const auto now = this->now();
    return (attempt.ticket == 0 || requests_.contains(attempt.ticket)) && now < attempt.deadline &&
           now <= attempt.start_before;
  }
  // Ends the attempt with what was seen on its connection; `code`: the engine's SQLSTATE. An attempt that has
  // ended already is left alone.
  void end_attempt(const AttemptPtr& attempt, sql::StatementResult seen, std::string_view code = {},
                   bool cancelled = false);
  void end_attempt(const AttemptPtr& attempt, AttemptResult result);
  // True: its client has sent something that is not read yet; that is read first, then the attempt is
  // launched. Once for each attempt, as a client may send on and on.
  bool defer_until_input_read(const AttemptPtr& attempt);
  // A further connection for an attempt whose first is late to come up, if there is a descriptor for it.
  void open_second_connection(const AttemptPtr& attempt);
  // The attempt's connection is lost, its query may run on: a new connection is opened to poll for it.
  void resume_polling(const AttemptPtr& attempt);
  // Has the engine delete the attempt's query. The attempt ends, with this result, once the engine has: until
  // then it is in flight, and the decision engine starts no other attempt of its request.
  void delete_query(const AttemptPtr& attempt, AttemptResult result);
  // The deletion with this connection number is over.
  void query_deleted(std::uint64_t number, const AttemptPtr& attempt, AttemptResult result);
  void report_progress(const AttemptPtr& attempt, ProgressKind kind, double amount);
  void report_progress(const AttemptPtr& attempt, const sql::ErrorText& notice);
  // A parameter that the engine reported on the attempt's connection: its load, or one that is ignored.
  void handle_engine_parameter(const AttemptPtr& attempt, std::string_view name, std::string_view value);
  // Sends a cancel request to the engine at `address`, for the connection that it knows by `process` and
  // `secret`.
  void request_cancel(const config::Address& address, std::uint32_t process, std::uint32_t secret);

  // ---- connections and limits
  // Null: see EnginePools::find().
  EnginePool* pool(EngineId id) { return pools_.find(id); }
  // How many connections this shard may have to one engine, or on the platform to all engines.
  [[nodiscard]] std::size_t pool_cap() const { return descriptors_.max_engine_connections(); }
  void wait_for_descriptor(const AttemptPtr& attempt) { descriptors_.wait(attempt); }
  void descriptor_freed() { descriptors_.descriptor_freed(); }
  [[nodiscard]] bool can_accept_client() { return descriptors_.can_accept_client(); }
  void free_client_descriptor() { descriptors_.free_client_descriptor(); }
  [[nodiscard]] bool can_open_deletion() const { return deletions_.can_open_connection(); }
  // See BufferLimit.
  [[nodiscard]] bool over_buffer_limit() const { return buffer_limit_.exceeded(); }
  void account_buffered(std::size_t before, std::size_t now) { buffer_limit_.account(before, now); }
  // See StallDetector: since when what is read now may have lain unread. Deadlines run from there.
  Time input_waiting_since() { return stall_detector_.input_waiting_since(now()); }
  std::uint64_t next_connection_number() { return ++last_connection_number_; }
  // A connection is closed and says so last of all.
  void remove_client(std::uint64_t number) { clients_.erase(number); }
  void remove_cancel_request(std::uint64_t number) { cancel_requests_.erase(number); }

  // ---- what the parts of a shard share
  // An event for the decision loop, at this moment.
  void publish(ShardEvent event) { environment_.publish(TimedEvent{now(), std::move(event)}); }
  ShardEnvironment& environment() { return environment_; }
  [[nodiscard]] Time now() const { return environment_.now(); }
  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] const router::QueryParser& query_parser() const { return query_parser_; }
  Metrics& metrics() { return metrics_; }
  trace::Tracer& tracer() { return tracer_; }
  Graphql* graphql() { return graphql_; }                                     // null: not served
  [[nodiscard]] const SelectorsPtr& selectors() const { return selectors_; }  // null: there are no groups

  // For the explorer: what is remembered here of requests, and of stalls.
  struct Counts {
    std::size_t requests = 0, attempts = 0, idle_connections = 0, cancel_requests = 0;
    Time last_turn{}, suspect_from{}, suspect_until{};  // of the stall detector
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

  [[nodiscard]] bool choose_group(const ClientRequestPtr& request, router::RequestSpec& spec);
  void reject_at_limit(const ClientRequestPtr& request, std::string reason);
  [[nodiscard]] AttemptPtr make_attempt(const router::DispatchAttempt& command,
                                        const ClientRequestPtr& request) const;
  void launch(const AttemptPtr& attempt);
  void launch_after(unsigned turns, const AttemptPtr& attempt);
  void connect(EnginePool& pool, const AttemptPtr& attempt);
  bool drop_waiting(const AttemptPtr& attempt);
  void finish_attempt(const AttemptPtr& attempt, AttemptResult result);
  void tick();
  void sweep();

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
  std::map<std::pair<Ticket, AttemptIndex>, AttemptPtr> attempts_;  // in flight, or waiting here
  std::vector<AttemptPtr> deferred_attempts_;                       // until what their clients sent is read
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
