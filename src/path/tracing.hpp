// The spans of a request, written down where its shard sees them (names as stored in trace files):
//   request                       from its last byte read to the end of its response
//     parse, validate, plan       of GraphQL; then one "statement FIELD" each, with below it
//     hold                        queued, from its submission or the last attempt's end to the next decision
//     choice                      what was believed when an engine was selected, or the request ended
//     dial                        opening a connection for it
//     attempt                     from the statement's first byte written to its end
//     answer                      a streamed response, from its first byte to its end
#pragma once

#include "path/shard.hpp"

namespace heronwell::path {

void trace_begin(Shard& shard, ClientRequest& client_request, const http::Parser& request);
void trace_decision(const Shard& shard, ClientRequest& client_request,
                    const std::optional<router::LoadSnapshot>& belief, EngineId engine);
void trace_attempt(Time now, const Attempt& attempt, AttemptResult result, std::string_view code,
                   bool cancelled);
// The request has ended: its trail is handed to the tracer, or, of a statement, gets its span.
void trace_end(Shard& shard, ClientRequest& client_request, router::Termination end, int status);

}  // namespace heronwell::path
