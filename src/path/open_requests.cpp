#include "path/open_requests.hpp"

namespace heronwell::path {

void OpenRequests::add(const ClientRequestPtr& request) {
  request->ticket = make_ticket(shard_index_, ++last_ticket_);
  requests_.emplace(request->ticket, request);
  if (!request->client_request_id.empty()) ids_.insert(request->client_request_id);
}

bool OpenRequests::erase(const ClientRequestPtr& request) {
  if (requests_.erase(request->ticket) == 0) return false;
  if (!request->client_request_id.empty()) ids_.erase(request->client_request_id);
  return true;
}

ClientRequestPtr OpenRequests::find(Ticket ticket) const {
  const auto found = requests_.find(ticket);
  return found == requests_.end() ? nullptr : found->second;
}

void OpenRequests::clear() {
  // Breaks the reference cycle between a response handler and the requests that it submitted.
  for (auto& [ticket, request] : requests_) request->response_handler = nullptr;
  requests_.clear();
}

}  // namespace heronwell::path
