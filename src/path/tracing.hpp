// Records the trace spans of a request on its shard. Span names, as stored in trace files:
//   request                   from the last byte of the request to the end of its response
//     parse, validate, plan   GraphQL only, followed by one "statement FIELD" span for each statement, which
//                             contains the spans below
//     hold                    queued, from the submission or the end of the last attempt to the next decision
//     choice                  the load estimates used when an engine was selected or the request ended
//     dial                    opening a connection for the attempt
//     attempt                 from the first byte of the statement sent to the end of the attempt
//     answer                  a streamed response, from its first byte to its end
#pragma once

#include "path/shard.hpp"

namespace heronwell::path {

void trace_begin(Shard& shard, ClientRequest& client_request, const http::Parser& request);
void trace_decision(const Shard& shard, ClientRequest& client_request,
                    const std::optional<router::LoadSnapshot>& belief, EngineId engine);
void trace_attempt(Time now, const Attempt& attempt, AttemptResult result, std::string_view code,
                   bool cancelled);
// Ends the trace of a request and passes its trail (the spans of the request) to the tracer. For a statement
// of a GraphQL request, only adds the statement's span to the trail of the GraphQL request.
void trace_end(Shard& shard, ClientRequest& client_request, router::Termination end, int status);

}  // namespace heronwell::path
