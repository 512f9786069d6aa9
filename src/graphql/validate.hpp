// Validation of an executable document against a schema: every rule of the specification's section 5, each
// error with the section's name for the rule and the places it speaks of. Linear in the document with its
// fragments spread out, which Limits::spread bounds.
#pragma once

#include <string>
#include <vector>

#include "graphql/document.hpp"
#include "graphql/schema.hpp"

namespace heronwell::graphql {

struct Violation {
  std::string rule;  // such as "5.3.1 Field Selections"
  std::string message;
  std::vector<Place> places;
};

// Empty: valid. In the order of rules' work, the same for the same document.
std::vector<Violation> validate(const Schema& schema, const Document& document, const Limits& limits = {});

}  // namespace heronwell::graphql
