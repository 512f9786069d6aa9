// JSON texts and numbers as they are written (RFC 8259).
#pragma once

#include <string>
#include <string_view>

namespace heronwell {

void put_json_text(std::string& out, std::string_view text);  // quoted; bytes that are no UTF-8 become U+FFFD
bool json_number(std::string_view text);                      // the grammar of section 6

}  // namespace heronwell
