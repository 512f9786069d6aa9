// ResponseDelivery ends requests: it sends the response, or a problem instead, to the client or the response
// handler and records the end once in metrics, trace and log.
//
// A response may be decided in time although its deadline passes before its first byte is sent, because this
// thread was stalled or busy in between. Without a guard, the client would get a response with status 200
// after the deadline. The decision engine enforces deadlines too, but it decides on another thread than the
// one that sends the first byte. The deadline is therefore checked again immediately before the first byte,
// and the client is told that it was exceeded.
#pragma once

#include "path/client_request.hpp"

namespace heronwell::path {

class Shard;

class ResponseDelivery {
 public:
  explicit ResponseDelivery(Shard& shard) : shard_(shard) {}

  // Delivers the complete response of one attempt, or ends a response that is streaming.
  void deliver(const router::DeliverResponse& command);
  // Ends a request whose engine was lost while its response was streaming.
  void abort_stream(const router::AbortStream& command);
  // Ends a request without a response: it was rejected, it failed or its deadline was exceeded.
  void finish(const router::FinishRequest& command);

  // If the deadline has passed, ends the request with a deadline problem and returns true.
  bool past_deadline(const ClientRequestPtr& request);
  void respond_with_problem(const ClientRequestPtr& request, const router::Problem& problem);
  // Records the end of a request in metrics, trace and log. `status` is the HTTP status, or 0 if no response
  // was sent.
  void record_finished(const ClientRequestPtr& request, router::Termination end, int status);

 private:
  void finish_stream(const ClientRequestPtr& request, bool engine_error);
  [[nodiscard]] bool retry_is_safe(const ClientRequest& request) const;

  Shard& shard_;
};

}  // namespace heronwell::path
