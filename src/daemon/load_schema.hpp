// Loads the GraphQL schema of a configuration.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "graphql/binding.hpp"

namespace heronwell::daemon {

// Reads the schema (graphql.sdl or the file graphql.schema) and binds it to the classes of `config`. Throws
// yaml::Error with a line "FILE:LINE:COLUMN: MESSAGE" for each error. FILE is "graphql.sdl" if the
// configuration itself contains the schema.
std::unique_ptr<graphql::Bound> load_schema(const config::Config& config);

}  // namespace heronwell::daemon
