// This target tests the HTTP parser. It checks that the parser does not crash, consumes no bytes past the end
// of its input, and produces the same events however the bytes are split into chunks.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "http/message.hpp"

namespace {

using namespace heronwell::http;

std::string parse_events(std::string_view bytes, std::size_t chunk_size, Role role) {
  Parser parser(role, {64, 256, 8, 512});
  std::string output, rest;
  for (std::size_t offset = 0; offset < bytes.size(); offset += chunk_size) {
    rest += bytes.substr(offset, chunk_size);
    while (true) {
      const auto step = parser.next(rest);
      if (step.consumed > rest.size()) std::abort();
      output += step.body;
      rest.erase(0, step.consumed);
      if (step.event == Parser::Event::head)
        for (const auto& field : parser.fields())
          output.append("<").append(field.name).append(":").append(field.value).append(">");
      if (step.event == Parser::Event::end) output += parser.keep_alive() ? "E" : "C";
      if (step.event == Parser::Event::error) return output + "!" + std::to_string(parser.status());
      if (step.event == Parser::Event::need_more) break;
    }
  }
  return output + (parser.close().event == Parser::Event::error ? "cut" : "");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  for (const auto role : {Role::request, Role::response}) {
    const auto whole = parse_events(bytes, std::max<std::size_t>(size, 1), role);
    if (parse_events(bytes, 1, role) != whole || parse_events(bytes, 7, role) != whole) std::abort();
  }
  return 0;
}
