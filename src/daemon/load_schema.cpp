#include "daemon/load_schema.hpp"

#include <fstream>
#include <iterator>

#include "path/graphql.hpp"

namespace heronwell::daemon {

std::unique_ptr<graphql::Bound> load_schema(const config::Config& config) {
  const auto& inline_text = config.graphql.sdl;
  if (!inline_text.empty()) return path::bind_schema(config, inline_text, "graphql.sdl");
  const auto& schema_file = config.graphql.schema;
  std::ifstream file(schema_file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) throw yaml::Error(schema_file + ":1:1: schema file cannot be read");
  return path::bind_schema(config, text, schema_file);
}

}  // namespace heronwell::daemon
