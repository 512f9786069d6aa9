// This target parses any bytes as a request of the HTTP interface. It checks that the result is a query with
// a statement, a valid class and time left, or a problem whose body is a single line.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "router/query_parser.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronwell;
  static const router::QueryParser front([] {
    Settings s;
    s.classes.resize(1);
    s.classes[0].name = "lookup";
    s.classes[0].timeout = std::chrono::seconds(2);
    s.tenants = {{"blue", 0, 0}};
    return s;
  }());
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto read = front.parse(bytes, size % 3 == 0 ? std::optional(bytes.substr(0, 6)) : std::nullopt);
  if (const auto* query = std::get_if<router::ParsedQuery>(&read)) {
    if (query->statement.empty() || query->spec.request.time_left <= Time::zero() ||
        query->spec.request.class_index != 0)
      std::abort();
  } else if (router::problem_body(std::get<router::Problem>(read)).find('\n') != std::string::npos) {
    std::abort();
  }
  return 0;
}
