// Demo runs stand-in engines and an endpoint list in this process, so that a router can be tried out.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace heronwell::rehearsal {

class Demo {
 public:
  explicit Demo(unsigned engines);  // runs them on its own thread until destroyed
  Demo(const Demo&) = delete;
  Demo& operator=(const Demo&) = delete;
  ~Demo();
  // Returns the YAML configuration of a router on `port` that uses these engines and this list.
  [[nodiscard]] std::string config(std::uint16_t port) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace heronwell::rehearsal
