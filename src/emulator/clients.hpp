// The clients of a day on virtual time: each arrival goes out at its moment, on a connection that is free or
// a new one, whatever became of those before; what they see is recorded.
#pragma once

#include <memory>
#include <vector>

#include "emulator/emulated_router.hpp"
#include "http/message.hpp"
#include "rehearsal/client_request.hpp"
#include "rehearsal/record.hpp"

namespace heronwell::emulator {

class Clients {
 public:
  // `ports`: by gateway. Arrivals are counted from `start`.
  Clients(Network& network, const rehearsal::Day& day, std::vector<std::uint16_t> ports,
          std::vector<std::unique_ptr<EmulatedRouter>>& gateways, Time start, rehearsal::Recorder& recorder);
  ~Clients();
  void begin();
  [[nodiscard]] bool done() const { return at_ == asks_.size() && open_ == 0; }
  [[nodiscard]] const rehearsal::LoadReport& report() const { return report_; }
  [[nodiscard]] const std::vector<rehearsal::Ask>& asks() const { return asks_; }
  [[nodiscard]] const std::vector<rehearsal::RequestOutcome>& fates() const { return fates_; }  // by ask

 private:
  class Connection;
  class Call;
  using Ptr = std::shared_ptr<Connection>;
  void next();
  void send(const rehearsal::Ask& ask, unsigned retry);
  void write(std::string_view event, const std::string& id, const std::string& more = "");
  void drop(const Connection& connection);
  void unconnected(const rehearsal::Ask& ask, const std::string& id);
  // What came of a request, and its next try if there is one.
  void answered(const rehearsal::Ask& ask, unsigned retry, const rehearsal::ClientRequest& talk,
                const rehearsal::ParsedAnswer& heard, Time took, std::uint64_t bytes);

  Network& network_;
  const rehearsal::Day& day_;
  std::vector<std::uint16_t> ports_;
  std::vector<std::unique_ptr<EmulatedRouter>>& gateways_;
  Time start_;
  rehearsal::Recorder& recorder_;
  Process process_;
  std::vector<rehearsal::Ask> asks_;
  std::vector<rehearsal::RequestOutcome> fates_;
  std::size_t at_ = 0, open_ = 0;
  std::vector<std::vector<Ptr>> idle_;  // by gateway
  rehearsal::LoadReport report_;
};

}  // namespace heronwell::emulator
