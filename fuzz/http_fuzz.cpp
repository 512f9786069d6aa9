// The HTTP parser: no crash, no event past the end, and the same events however the bytes are split.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "http/message.hpp"

namespace {

using namespace heronwell::http;

std::string events(std::string_view bytes, std::size_t piece, Role role) {
  Parser parser(role, {64, 256, 8, 512});
  std::string told, rest;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    rest += bytes.substr(at, piece);
    while (true) {
      const auto step = parser.next(rest);
      if (step.consumed > rest.size()) std::abort();
      told += step.body;
      rest.erase(0, step.consumed);
      if (step.event == Parser::Event::head)
        for (const auto& field : parser.fields())
          told.append("<").append(field.name).append(":").append(field.value).append(">");
      if (step.event == Parser::Event::end) told += parser.keep_alive() ? "E" : "C";
      if (step.event == Parser::Event::error) return told + "!" + std::to_string(parser.status());
      if (step.event == Parser::Event::need_more) break;
    }
  }
  return told + (parser.close().event == Parser::Event::error ? "cut" : "");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  for (const auto role : {Role::request, Role::response}) {
    const auto whole = events(bytes, std::max<std::size_t>(size, 1), role);
    if (events(bytes, 1, role) != whole || events(bytes, 7, role) != whole) std::abort();
  }
  return 0;
}
