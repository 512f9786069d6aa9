// Results of an experiment in one SQLite file: the plan and the program's build, a row for each run, and what
// it was worth. A run is written whole or not at all, so that one killed in the middle is done again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "experiment/plan.hpp"
#include "experiment/score.hpp"

struct sqlite3;

namespace heronwell::experiment {

struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Key {  // of a run
  std::string site, policy, point;
  std::uint64_t seed = 0;
  auto operator<=>(const Key&) const = default;
};
Key key_of(const Plan& plan, const Run& run);

struct Trouble {
  std::string kind;
  double at_s = 0, for_s = 0;
};
struct Row {
  Key key;
  double x = 0;
  Score score;
  std::vector<Trouble> troubles;
  std::uint64_t events = 0;
  double virtual_s = 0, real_s = 0;
  std::vector<std::string> left;  // what routers did not forget: a fault
};

class Store {
 public:
  // Opens or makes the file. Throws StoreError: unreadable, of another kind or a newer layout.
  enum class Mode { read, make };
  explicit Store(const std::string& file, Mode mode = Mode::read);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Of a new file: keeps these. Of one that has some: throws StoreError unless they are the same.
  void begin(const Plan& plan, const std::string& build);
  [[nodiscard]] std::vector<Key> done() const;
  void add(const Row& row);

  // Of name, about, plan, build, fidelity, axis (the first) and policies; "": nothing was kept.
  [[nodiscard]] std::string about(const std::string& key) const;
  [[nodiscard]] std::vector<std::string> policies() const;  // as the plan has them
  [[nodiscard]] std::vector<Row> rows() const;              // in the order of their keys

 private:
  class Statement;
  void execute(const char* sql) const;
  sqlite3* db_ = nullptr;
  std::string file_;
};

}  // namespace heronwell::experiment
