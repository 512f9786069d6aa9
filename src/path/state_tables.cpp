#include "path/state_tables.hpp"

namespace heronwell::path {
namespace {

template <class E, std::size_t N>
std::string_view name_at(const std::array<std::string_view, N>& names, E value) {
  return names.at(static_cast<std::size_t>(value));
}
using Names2 = std::array<std::string_view, 2>;
using Names3 = std::array<std::string_view, 3>;
using Names5 = std::array<std::string_view, 5>;
using Names6 = std::array<std::string_view, 6>;
using Names7 = std::array<std::string_view, 7>;
using Names11 = std::array<std::string_view, 11>;

}  // namespace

std::string_view name_of(EngineConnectionState state) {
  return name_at(Names7{"connecting", "starting_up", "idle", "busy", "sending", "cancelling", "closed"},
                 state);
}
std::string_view name_of(EngineConnectionEvent event) {
  return name_at(
      Names11{"connected", "ready", "statement_sent", "write_blocked", "write_completed", "attempt_dropped",
              "cancel_sent", "statement_finished", "finished_unusable", "connection_lost", "closed_locally"},
      event);
}
std::string_view name_of(ClientConnectionState state) {
  return name_at(Names5{"reading", "finishing", "flushing", "lingering", "closed"}, state);
}
std::string_view name_of(ClientConnectionEvent event) {
  return name_at(Names5{"last_request", "last_response", "flushed", "connection_lost", "closed_locally"},
                 event);
}
std::string_view name_of(AttemptState state) {
  return name_at(Names7{"created", "connecting", "statement_sent", "awaiting_permission", "streaming",
                        "cancelling", "finished"},
                 state);
}
std::string_view name_of(AttemptEvent event) {
  return name_at(Names6{"connect", "send_statement", "exceed_buffer", "allow_stream", "cancel", "finish"},
                 event);
}
std::string_view name_of(ResponseState state) {
  return name_at(Names3{"pending", "streaming", "complete"}, state);
}
std::string_view name_of(ResponseEvent event) { return name_at(Names2{"begin", "finish"}, event); }

}  // namespace heronwell::path
