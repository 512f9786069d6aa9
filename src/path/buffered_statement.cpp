#include "path/buffered_statement.hpp"

namespace heronwell::path {

std::shared_ptr<const sql::Statement> buffered_statement(const BufferAccountPtr& account,
                                                         std::string_view text) {
  struct Counted {
    sql::Statement statement;
    BufferedBytes bytes;
  };
  auto counted = std::make_shared<Counted>();
  counted->statement.text = text;
  counted->bytes = BufferedBytes(account, BufferKind::statements);
  counted->bytes.set(counted->statement.text.capacity());
  return {counted, &counted->statement};
}

}  // namespace heronwell::path
