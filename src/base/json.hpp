// Writes JSON strings and checks JSON numbers (RFC 8259), for hot paths that compose JSON without a library.
#pragma once

#include <string>
#include <string_view>

namespace heronwell {

// Appends `text` as a JSON string, quoted and escaped. Each byte that is not valid UTF-8 becomes U+FFFD.
void put_json_text(std::string& out, std::string_view text);
// Whether the whole of `text` is one JSON number (RFC 8259, section 6).
bool is_json_number(std::string_view text);

}  // namespace heronwell
