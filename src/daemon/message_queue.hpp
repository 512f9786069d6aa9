// MessageQueue passes messages from any thread to one consumer thread.
//
// Producers append messages under a mutex. The consumer's executor runs the handler with all messages that
// have arrived until then, in order of arrival. The handler is posted once per batch, not once per message.
// From the shards to the decision thread, each batch is one tick of the decisions: the more load the router
// has, the larger the ticks and the lower the cost per message.
//
// The queue itself has no limit: the limits of connections and requests in the shards bound its length.
#pragma once

#include <boost/asio/post.hpp>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace heronwell::daemon {

template <class Message, class Executor>
class MessageQueue {
 public:
  using Handler = std::function<void(std::vector<Message>&)>;

  // `handle` runs on `executor` with one batch of messages, which is not empty. `executor` must not run two
  // handlers at the same time.
  MessageQueue(Executor executor, Handler handle)
      : executor_(std::move(executor)), handle_(std::move(handle)) {}

  // May be called from any thread.
  template <class M>
  void push(M&& message) {
    std::unique_lock lock(mutex_);
    incoming_.push_back(std::forward<M>(message));
    wake_consumer(std::move(lock));
  }
  // May be called from any thread. Clears `messages` but keeps its capacity, so that the caller can reuse it.
  void push_all(std::vector<Message>& messages) {
    if (messages.empty()) return;
    std::unique_lock lock(mutex_);
    for (auto& message : messages) incoming_.push_back(std::move(message));
    messages.clear();
    wake_consumer(std::move(lock));
  }

 private:
  void wake_consumer(std::unique_lock<std::mutex> lock) {
    if (std::exchange(handler_posted_, true)) return;
    lock.unlock();
    boost::asio::post(executor_, [this] { handle_batch(); });
  }
  void handle_batch() {
    {
      const std::lock_guard lock(mutex_);
      batch_.swap(incoming_);
      handler_posted_ = false;
    }
    handle_(batch_);
    batch_.clear();
  }

  Executor executor_;
  Handler handle_;
  std::mutex mutex_;               // guards incoming_ and handler_posted_
  std::vector<Message> incoming_;  // filled by the producers
  bool handler_posted_ = false;
  std::vector<Message> batch_;  // used by the consumer only
};

}  // namespace heronwell::daemon
