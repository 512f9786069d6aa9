// A stand-in SQL engine on a loopback socket: the PostgreSQL protocol round an EngineModel. What a statement
// costs stands in a comment of its own, which is all that it reads of it:
//
//   select ... /*hw id=c0-17 work_ms=120 threads=2 io=0.3 need_mb=80 group=7 holds=0 waits=1 rows=3 bytes=20
//                  error=42P01 */
//
// A value that is $1, $2 ... is that bound parameter's. For statements by the extended protocol also:
//   columns=id:23,name:25=Gate_A|Gate_B,shop:25=each   columns with their types' object ids and, after =,
//   their
//                                                      values; "none": a statement without rows
//   each=$1                                            rows for each element of an array parameter
//   tag=INSERT                                         of the command tag
//
// Statements without one are answered at once with a row "1".
#pragma once

#include <memory>
#include <string>

#include "rehearsal/model.hpp"
#include "rehearsal/record.hpp"

namespace boost::asio {
class io_context;
}

namespace heronwell::rehearsal {

// What goes wrong on command; parts are chances from 0 to 1.
struct EngineFaults {
  double slow = 1;          // times slower
  double swallow = 0;       // does the work, sends no answer
  double fail = 0;          // answers 58000 at once
  double reset_before = 0;  // closes instead of beginning
  double reset_after = 0;   // closes after the work, instead of answering
  double turn_away = 0;     // answers 53300, never began
  double cut = 0;           // closes between the last row and the end of the answer
  Time late_loads{};        // loads told are so old
  Time slow_start{};        // the start-up is answered so late
};

struct EngineOptions {
  std::string name = "engine";
  std::uint16_t port = 0;  // 0: any
  Traits traits;
  bool warm = true;
  std::uint64_t seed = 1;
  bool tells_load = true, tells_cost = true;
  Time progress_pace{};  // 0: no notices
};

class Engine {
 public:
  // Binds at once; throws std::system_error. `recorder` outlives it.
  Engine(boost::asio::io_context& context, EngineOptions options, Recorder& recorder);
  ~Engine();

  [[nodiscard]] std::uint16_t port() const;
  void faults(const EngineFaults& faults);
  void kill();  // resets every connection and listens no more, as a killed process does
  // Reads faults from a line such as "slow 5" or "swallow 0.3"; "" if understood, else what was expected.
  std::string command(const std::string& line);
  [[nodiscard]] bool tipped() const;
  [[nodiscard]] std::uint64_t began() const;  // statements

 private:
  struct Parts;
  std::shared_ptr<Parts> parts_;
};

}  // namespace heronwell::rehearsal
