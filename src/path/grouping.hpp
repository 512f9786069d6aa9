// Collects the properties of a client's request that group selectors can match.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "groups/selector.hpp"
#include "http/message.hpp"

namespace heronwell::path {

// Name of the header field with the client's tags, separated by commas.
inline constexpr std::string_view kTagsField = "heronwell-tags";

// Properties of the request as the client sent it. They are kept only if groups are configured, and apply to
// every statement that results from the request.
struct Origin {
  std::string address;
  std::map<std::string, std::string, std::less<>> headers;  // only those that selectors match
  std::vector<std::string> tags;
  std::string operation;                 // name of the GraphQL operation
  std::vector<std::string> root_fields;  // root fields of the GraphQL operation
};

// Returns the properties of a request received from `address`, with the headers that `selectors` match.
Origin origin_of(const http::Parser& request, const groups::Selectors& selectors, std::string address);
// Returns the input for group selection. The result refers to `origin`, which must outlive it.
groups::RequestAttributes described(const Origin& origin, std::string cls, std::string tenant,
                                    std::string_view statement);

}  // namespace heronwell::path
