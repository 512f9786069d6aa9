#include "request_table.hpp"

namespace heronwell {

RequestTable::RequestTable(const Settings& settings) : settings_(settings) {
  queues_.resize(settings.classes.size());
}

Request& RequestTable::add(const RequestArrived& arrival, Time now) {
  auto& request = requests_[arrival.request];
  request.arrival = arrival;
  request.deadline = now + arrival.time_left;
  deadlines_.insert({request.deadline - kAnswerMargin, arrival.request});
  return request;
}

void RequestTable::add_to_key_order(const Request& request) {
  if (is_ordered(request)) key_order_.add(request.arrival.order_key, request.id());
}

void RequestTable::enqueue(Request& request, QueueEnd end, Time now) {
  auto& queue = queues_[request.arrival.class_index].requests;
  request.is_queued = true;
  request.queued_at = now;
  if (end == QueueEnd::front) {
    queue.push_front(request.id());
  } else {
    queue.push_back(request.id());
  }
}

void RequestTable::dequeue(const Request& request) {
  auto& queue = queues_[request.arrival.class_index].requests;
  queue.erase(std::ranges::find(queue, request.id()));
}

void RequestTable::close(Request& request) {
  request.is_open = false;
  if (request.is_queued) std::erase(queues_[request.arrival.class_index].requests, request.id());
  request.is_queued = false;
  deadlines_.erase({request.deadline - kAnswerMargin, request.id()});
}

void RequestTable::remove(const Request& request) {
  const auto id = request.id();
  if (is_ordered(request)) key_order_.remove(request.arrival.order_key, id);
  requests_.erase(id);
}

void RequestTable::start_attempt(Request& request, const Attempt& attempt) {
  request.attempts.push_back(attempt);
  request.is_queued = false;
  queues_[request.arrival.class_index].running_threads += settings_of(request).threads;
}

void RequestTable::finish_attempt(Request& request, AttemptIndex attempt, AttemptResult result) {
  request.attempts[attempt].in_flight = false;
  request.attempts[attempt].result = result;
  queues_[request.arrival.class_index].running_threads -= settings_of(request).threads;
}

void RequestTable::start_quiet_period_after(const Request& request, AttemptResult result, Time now) {
  const bool may_still_run = result == AttemptResult::timed_out || result == AttemptResult::reset ||
                             result == AttemptResult::cancelled;
  if (may_still_run && is_ordered(request))
    key_order_.start_quiet_period(request.arrival.order_key, now + settings_.ordering_quiet_period);
}

Request* RequestTable::find(RequestId request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

double RequestTable::running_threads() const {
  double threads = 0;
  for (const auto& queue : queues_) threads += queue.running_threads;
  return threads;
}

}  // namespace heronwell
