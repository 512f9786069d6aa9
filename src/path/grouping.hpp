// What is known of a client's request when its group is chosen, and the choice, by the selectors in force.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "groups/selector.hpp"
#include "http/message.hpp"

namespace heronwell::path {

// The header field that holds a client's tags, between commas.
inline constexpr std::string_view kTagsField = "heronwell-tags";

// Of the request that a client sent: kept where groups are on, for all statements made of it.
struct Origin {
  std::string address;
  std::map<std::string, std::string, std::less<>> headers;  // those that selectors look at
  std::vector<std::string> tags;
  std::string operation;                 // GraphQL's
  std::vector<std::string> root_fields;  // likewise
};

Origin origin_of(const http::Parser& request, const groups::Selectors& selectors, std::string address);
groups::RequestAttributes described(const Origin& origin, std::string cls, std::string tenant,
                                    std::string_view statement);

}  // namespace heronwell::path
