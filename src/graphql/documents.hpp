// Documents that were parsed and validated once, by their text, and persisted ones by their SHA-256: a store
// of bounded size, the one not used for longest going first. Safe for several threads.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "graphql/document.hpp"
#include "graphql/schema.hpp"
#include "graphql/validate.hpp"

namespace heronwell::graphql {

struct Prepared {
  Document document;
  std::vector<Violation> errors;  // empty: valid. Those of parsing have no rule
  std::size_t bytes = 0;          // about, of memory
  Time parsing{}, validating{};   // took so long, once
};
// The clock that tells how long parsing and validation took; handed in, as no room below the daemon reads
// one.
using Clock = std::function<Time()>;
std::shared_ptr<const Prepared> prepare(const Schema& schema, std::string_view text, const Limits& limits,
                                        const Clock& now);

std::string sha256_hex(std::string_view text);

class Documents {
 public:
  // `most`: bytes of all documents kept.
  Documents(const Schema& schema, Limits limits, std::size_t most, Clock now)
      : schema_(schema), limits_(limits), most_(most), now_(std::move(now)) {}

  std::shared_ptr<const Prepared> get(const std::string& text, bool* fresh = nullptr);
  void persist(const std::string& sha256, const std::string& text);
  std::optional<std::string> persisted(const std::string& sha256);  // the text

  struct Counts {
    std::uint64_t hits = 0, misses = 0, dropped = 0;
    std::size_t bytes = 0;
  };
  Counts counts();

 private:
  // One list for both kinds; a key begins with a mark for its kind.
  struct Kept {
    std::string key, text;
    std::shared_ptr<const Prepared> prepared;
    std::size_t bytes = 0;
  };
  Kept* find(const std::string& key);
  void keep(Kept kept);

  const Schema& schema_;
  Limits limits_;
  std::size_t most_;
  Clock now_;
  std::mutex mutex_;
  std::list<Kept> kept_;  // the newest used first
  std::unordered_map<std::string_view, std::list<Kept>::iterator>
      at_;  // looked up only; views of the list's keys
  Counts counts_;
};

}  // namespace heronwell::graphql
