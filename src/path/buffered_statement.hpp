// A statement whose bytes are counted in an account until its last owner, a request or an attempt, releases it.
#pragma once

#include <memory>
#include <string_view>

#include "path/buffer_account.hpp"
#include "sql/session.hpp"

namespace heronwell::path {

[[nodiscard]] std::shared_ptr<const sql::Statement> buffered_statement(const BufferAccountPtr& account,
                                                                       std::string_view text);

}  // namespace heronwell::path
