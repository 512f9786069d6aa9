#include "path/states.hpp"

namespace heronwell::path {
namespace {

template <class E, std::size_t N>
std::string_view at(const std::array<std::string_view, N>& names, E value) {
  return names.at(static_cast<std::size_t>(value));
}
using Names2 = std::array<std::string_view, 2>;
using Names3 = std::array<std::string_view, 3>;
using Names5 = std::array<std::string_view, 5>;
using Names6 = std::array<std::string_view, 6>;
using Names7 = std::array<std::string_view, 7>;
using Names9 = std::array<std::string_view, 9>;

}  // namespace

std::string_view name_of(Link state) {
  return at(Names6{"dialling", "starting", "idle", "busy", "cancelling", "closed"}, state);
}
std::string_view name_of(LinkEvent event) {
  return at(Names9{"connected", "ready", "write", "drop", "stop", "end", "spoilt", "lost", "leave"}, event);
}
std::string_view name_of(Door state) {
  return at(Names5{"reading", "last", "flushing", "lingering", "closed"}, state);
}
std::string_view name_of(DoorEvent event) {
  return at(Names5{"last_request", "last_answer", "flushed", "lost", "leave"}, event);
}
std::string_view name_of(Try state) {
  return at(Names7{"fresh", "dialling", "written", "asking", "streaming", "called_off", "ended"}, state);
}
std::string_view name_of(TryEvent event) {
  return at(Names6{"dial", "write", "outgrow", "stream", "stop", "end"}, event);
}
std::string_view name_of(Reply state) { return at(Names3{"owed", "streaming", "whole"}, state); }
std::string_view name_of(ReplyEvent event) { return at(Names2{"begin", "finish"}, event); }

}  // namespace heronwell::path
