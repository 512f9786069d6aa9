// GraphQL over HTTP (the GraphQL working group's draft): what of a request is a GraphQL request, in which
// media type its answer goes out, and with which status. No sockets.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "graphql/values.hpp"

namespace heronwell::graphql {

enum class Media { response_json, json };  // application/graphql-response+json, application/json
std::string_view media_type(Media media);  // with its charset

struct HttpRequest {
  std::string_view method, target;  // target with its query
  std::string_view body;
  std::function<std::optional<std::string_view>(std::string_view)> header;  // by name
};

struct Operation {
  std::string query;           // empty: only its hash was given
  std::string operation_name;  // empty: none
  Datum variables;             // an object or null
  std::string sha256;          // of a persisted document, in hex; empty: none
};
struct HttpAsk {
  Media media = Media::response_json;
  bool batch = false;
  bool get = false;  // no mutation may run
  std::vector<Operation> operations;
};
struct HttpWrong {
  int status = 400;
  Media media = Media::response_json;
  std::string message;
  std::string_view allow;  // of 405
};
struct HttpPage {};  // a person's browser asks for the query page

// `most_batch`: operations in one request; 0 or 1: batches are refused. `page`: the page may be asked for.
std::variant<HttpAsk, HttpWrong, HttpPage> read_http(const HttpRequest& request, std::size_t most_batch,
                                                     bool page);

// Of an answer in this media type; `executed`: it has "data", null or not. `bad`: the request could not even
// be read.
int http_status(Media media, bool executed, bool bad);

// Percent decoding as forms have it; empty: malformed.
std::optional<std::string> percent_decoded(std::string_view text);

}  // namespace heronwell::graphql
