// JSON's texts and numbers (RFC 8259), for output that is composed by hand on busy paths.
#pragma once

#include <string>
#include <string_view>

namespace heronwell {

// Appends `text` quoted and escaped. Bytes that are not UTF-8 become U+FFFD.
void put_json_text(std::string& out, std::string_view text);
// Whether `text` is a JSON number (section 6) and nothing else.
bool is_json_number(std::string_view text);

}  // namespace heronwell
