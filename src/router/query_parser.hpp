// Parses the body of POST /v1/query, a JSON object, into a request for the registry, or into the problem to
// report to the client. It performs no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "router/problem_details.hpp"
#include "router/request_registry.hpp"

namespace heronwell::router {

// A query as the client sent it. The caller still has to set its ticket.
struct ParsedQuery {
  std::string statement;
  RequestSpec spec;
};

// Parses queries and resolves their classes and tenants by the names in the settings.
class QueryParser {
 public:
  explicit QueryParser(const Settings& settings);

  // `timeout`: the value of the header heronwell-timeout-ms; if absent, the class's timeout applies.
  [[nodiscard]] std::variant<ParsedQuery, Problem> parse(std::string_view body,
                                                         std::optional<std::string_view> timeout) const;

 private:
  std::vector<std::string> classes_, tenants_;
  std::vector<Time> timeouts_;
};

}  // namespace heronwell::router
