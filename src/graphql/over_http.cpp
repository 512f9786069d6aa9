#include "graphql/over_http.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace heronwell::graphql {
namespace {

constexpr std::string_view kResponse = "application/graphql-response+json", kJson = "application/json",
                           kHtml = "text/html";

std::string lower(std::string_view text) {
  std::string out(text);
  std::ranges::transform(out, out.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}
std::string_view trimmed(std::string_view text) {
  const auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
// Parts between `mark`, those in quotes kept whole.
std::vector<std::string_view> parts(std::string_view text, char mark) {
  std::vector<std::string_view> out;
  bool quoted = false;
  std::size_t from = 0;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    if (i < text.size() && text[i] == '"') quoted = !quoted;
    if (i < text.size() && (quoted || text[i] != mark)) continue;
    out.push_back(trimmed(text.substr(from, i - from)));
    from = i + 1;
  }
  return out;
}
std::string unquoted(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
  return lower(text);
}

// RFC 9110, section 12.5.1: how much a type is wished for, and how precisely it was named (2: by its name, 0:
// by "*/*"). Quality 0: not at all.
struct Wish {
  double quality = 0;
  int precision = -1;
};
Wish wish(std::string_view accept, std::string_view offer) {
  Wish found;
  for (const auto range : parts(accept, ',')) {
    const auto pieces = parts(range, ';');
    const auto type = lower(pieces[0]);
    const int precision = type == offer                                                                ? 2
                          : type.ends_with("/*") && offer.starts_with(type.substr(0, type.size() - 1)) ? 1
                          : type == "*/*"                                                              ? 0
                                                                                                       : -1;
    if (precision <= found.precision) continue;
    double quality = 1;
    bool fits = true;
    for (std::size_t i = 1; i < pieces.size(); ++i) {
      const auto equals = pieces[i].find('=');
      const auto name = lower(trimmed(pieces[i].substr(0, equals)));
      const auto value =
          equals == std::string_view::npos ? "" : unquoted(trimmed(pieces[i].substr(equals + 1)));
      if (name == "q" &&
          std::from_chars(value.data(), value.data() + value.size(), quality).ec != std::errc{})
        quality = 0;
      if (name == "charset" && value != "utf-8") fits = false;
    }
    if (fits) found = {quality, precision};
  }
  return found;
}

// Without a wish, or by a wildcard, the older type, which every client reads. Empty: neither is wished for.
std::optional<Media> chosen_media(std::string_view accept) {
  if (trimmed(accept).empty()) return Media::json;
  const auto newer = wish(accept, kResponse), older = wish(accept, kJson);
  if (newer.quality <= 0 && older.quality <= 0) return std::nullopt;
  if (newer.quality != older.quality)
    return newer.quality > older.quality ? Media::response_json : Media::json;
  return newer.precision == 2 ? Media::response_json : Media::json;
}

struct Wrong {
  std::string message;
};

Operation read_operation(const Datum& from) {
  if (from.kind != Datum::Kind::object) throw Wrong{"expected an object with \"query\""};
  Operation out;
  const auto text = [&](const char* name) -> std::string {
    const auto* value = from.field(name);
    if (value == nullptr || value->null()) return "";
    if (value->kind != Datum::Kind::string) throw Wrong{fmt::format("\"{}\": expected a text", name)};
    return value->text;
  };
  out.query = text("query");
  out.operation_name = text("operationName");
  if (const auto* variables = from.field("variables")) {
    if (!variables->null() && variables->kind != Datum::Kind::object)
      throw Wrong{"\"variables\": expected an object"};
    out.variables = *variables;
  }
  const auto* extensions = from.field("extensions");
  if (extensions != nullptr && !extensions->null()) {
    if (extensions->kind != Datum::Kind::object) throw Wrong{"\"extensions\": expected an object"};
    if (const auto* persisted = extensions->field("persistedQuery")) {
      const auto* version = persisted->field("version");
      const auto* hash = persisted->field("sha256Hash");
      if (version == nullptr || version->text != "1" || hash == nullptr || hash->text.size() != 64 ||
          hash->text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        throw Wrong{"\"extensions.persistedQuery\": expected version 1 and a sha256Hash of 64 hex digits"};
      out.sha256 = lower(hash->text);
    }
  }
  if (out.query.empty() && out.sha256.empty()) throw Wrong{"\"query\": missing"};
  return out;
}

Datum json_of(std::string_view name, const std::string& text) {
  try {
    return read_json(text);
  } catch (const JsonError& error) {
    throw Wrong{fmt::format("\"{}\": JSON, at byte {}: {}", name, error.byte, error.what())};
  }
}

Operation read_query_string(std::string_view query) {
  Datum object;
  object.kind = Datum::Kind::object;
  for (const auto pair : parts(query, '&')) {
    if (pair.empty()) continue;
    const auto equals = pair.find('=');
    const auto name = percent_decoded(pair.substr(0, equals));
    const auto value = equals == std::string_view::npos ? std::optional<std::string>("")
                                                        : percent_decoded(pair.substr(equals + 1));
    if (!name || !value) throw Wrong{"the query string is not percent-encoded UTF-8"};
    if (object.field(*name) != nullptr) throw Wrong{fmt::format("\"{}\" is given twice", *name)};
    if (*name == "variables" || *name == "extensions")
      object.fields.emplace_back(*name, value->empty() ? Datum{} : json_of(*name, *value));
    else
      object.fields.emplace_back(*name, Datum::of(Datum::Kind::string, *value));
  }
  return read_operation(object);
}

}  // namespace

std::string_view media_type(Media media) {
  return media == Media::json ? "application/json; charset=utf-8"
                              : "application/graphql-response+json; charset=utf-8";
}

std::optional<std::string> percent_decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      out += ' ';
    } else if (text[i] != '%') {
      out += text[i];
    } else {
      unsigned byte = 0;
      if (i + 2 >= text.size()) return std::nullopt;
      const auto* from = text.data() + i + 1;
      const auto [end, error] = std::from_chars(from, from + 2, byte, 16);
      if (error != std::errc{} || end != from + 2) return std::nullopt;
      out += static_cast<char>(byte);
      i += 2;
    }
  }
  return out;
}

std::variant<HttpAsk, HttpWrong, HttpPage> read_http(const HttpRequest& request, std::size_t most_batch,
                                                     bool page) {
  const bool get = request.method == "GET" || request.method == "HEAD";
  const auto accept = request.header("accept").value_or("");
  const auto chosen = chosen_media(accept);
  const auto media = chosen.value_or(Media::response_json);
  const auto mark = request.target.find('?');
  const auto query = mark == std::string_view::npos ? "" : request.target.substr(mark + 1);
  const auto html = wish(accept, kHtml);
  if (get && page && query.empty() && html.precision == 2 &&
      html.quality >= std::max(wish(accept, kJson).quality, wish(accept, kResponse).quality))
    return HttpPage{};
  if (!get && request.method != "POST")
    return HttpWrong{405, media, "GET and POST are served here", "GET, POST"};
  if (!chosen)
    return HttpWrong{
        406, Media::response_json, "application/graphql-response+json or application/json is answered", {}};
  HttpAsk ask;
  ask.media = media;
  ask.get = get;
  try {
    if (get) {
      ask.operations.push_back(read_query_string(query));
      return ask;
    }
    const auto pieces = parts(request.header("content-type").value_or(""), ';');
    if (lower(pieces[0]) != kJson)
      return HttpWrong{415, media, "content-type: application/json is expected", {}};
    for (std::size_t i = 1; i < pieces.size(); ++i) {
      const auto piece = lower(pieces[i]);
      if (piece.starts_with("charset") &&
          unquoted(trimmed(pieces[i].substr(pieces[i].find('=') + 1))) != "utf-8")
        return HttpWrong{415, media, "charset=utf-8 is expected", {}};
    }
    const auto body = read_json(request.body);
    if (body.kind != Datum::Kind::list) {
      ask.operations.push_back(read_operation(body));
      return ask;
    }
    if (most_batch < 2) throw Wrong{"expected an object; batches are not taken here"};
    if (body.items.empty() || body.items.size() > most_batch)
      throw Wrong{fmt::format("expected from 1 to {} operations in a batch", most_batch)};
    ask.batch = true;
    for (const auto& item : body.items) ask.operations.push_back(read_operation(item));
    return ask;
  } catch (const JsonError& error) {
    return HttpWrong{400, media, fmt::format("JSON, at byte {}: {}", error.byte, error.what()), {}};
  } catch (const Wrong& wrong) {
    return HttpWrong{400, media, wrong.message, {}};
  }
}

int http_status(Media media, bool executed, bool bad) {
  if (executed) return 200;
  return media == Media::json && !bad ? 200 : 400;
}

}  // namespace heronwell::graphql
