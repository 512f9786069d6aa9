// This target parses, prints and validates GraphQL documents. It checks that a document is parsed within the
// limits or rejected with a position in the text, that a printed document parses to the same document, and
// that validation of a parsed document ends, with a position in the text for each violation.
#include <cstdint>
#include <cstdlib>

#include "graphql/validate.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronwell::graphql;
  static const Schema schema(
      "type Query{a(b:Int c:I d:[E!]):Query s:String f:Float u:U n:N}input I{x:I y:Int!}enum E{R G}union "
      "U=Query interface N{s:String}");
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  Limits limits;
  limits.spread = 2000;
  try {
    const auto document = parse(bytes, limits);
    const auto printed = print(document);
    if (print(parse(printed)) != printed) std::abort();
    for (const auto& violation : validate(schema, document, limits))
      if (violation.places.empty() || violation.places[0].line == 0) std::abort();
  } catch (const Error& error) {
    if (error.place.line == 0 || error.place.column == 0) std::abort();
  }
  return 0;
}
