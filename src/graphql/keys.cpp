#include "graphql/keys.hpp"

namespace heronwell::graphql {

void Keys::expire(Time now) {
  while (!ends_.empty() && ends_.front().at <= now) {
    const auto found = entries_.find(ends_.front().key);
    if (found != entries_.end() && found->second.number == ends_.front().number) {
      bytes_ -= found->second.answer.size();
      entries_.erase(found);
    }
    ends_.pop_front();
  }
}

Keys::Found Keys::begin(Time now, const std::string& key, std::uint64_t fingerprint) {
  expire(now);
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const auto& entry = found->second;
    if (entry.fingerprint != fingerprint) return {State::mismatch, ""};
    return entry.done ? Found{State::known, entry.answer} : Found{State::in_progress, ""};
  }
  // What is remembered is a promise for its window: a full store refuses new keys and drops no old one.
  if (entries_.size() >= most_ || bytes_ >= most_bytes_) return {State::full, ""};
  entries_[key] = {fingerprint, ++numbers_, false, ""};
  return {State::fresh, ""};
}

void Keys::done(Time now, const std::string& key, std::string answer) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  bytes_ += answer.size();
  found->second.done = true;
  found->second.answer = std::move(answer);
  ends_.push_back({now + window_, key, found->second.number});
}

void Keys::forget(const std::string& key) { entries_.erase(key); }

}  // namespace heronwell::graphql
