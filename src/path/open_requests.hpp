// OpenRequests holds the open requests of one shard. A request is open from its submission to the decision
// engine until its response is decided or its client disconnects.
//
// Requests are keyed by ticket, whose upper 8 bits are the shard index. If the client has assigned a request
// id (in the platform's frames), that id is registered exactly as long as the request is open, so that a
// second request with the same id can be rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "path/client_request.hpp"

namespace heronwell::path {

class OpenRequests {
 public:
  explicit OpenRequests(unsigned shard_index) : shard_index_(shard_index) {}

  // Adds the request and assigns its ticket.
  void add(const ClientRequestPtr& request);
  // Returns false if the request was not open.
  bool erase(const ClientRequestPtr& request);
  // Returns null if the request is not open.
  [[nodiscard]] ClientRequestPtr find(Ticket ticket) const;
  [[nodiscard]] bool contains(Ticket ticket) const { return requests_.contains(ticket); }
  [[nodiscard]] bool id_open(const std::string& request_id) const { return ids_.contains(request_id); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  // Removes all requests; called by the shard's destructor.
  void clear();

 private:
  unsigned shard_index_;
  std::uint64_t last_ticket_ = 0;
  std::unordered_map<Ticket, ClientRequestPtr> requests_;
  std::unordered_set<std::string> ids_;
};

}  // namespace heronwell::path
