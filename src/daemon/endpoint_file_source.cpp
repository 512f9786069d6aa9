#include "daemon/endpoint_file_source.hpp"

#include <fstream>
#include <sstream>

#include "daemon/log.hpp"

namespace heronwell::daemon {

asio::awaitable<void, Executor> EndpointFileSource::watch() {
  while (!stopped()) {
    read_once();
    co_await poller().sleep(config().endpoint_list.file_watch_interval);
  }
}

void EndpointFileSource::read_once() {
  const auto& path = config().endpoint_list.file;
  std::ifstream file(path);
  std::stringstream buffer;
  buffer << file.rdbuf();
  if (!file) return;
  const auto text = buffer.str();
  if (text == published_text_ || text == rejected_text_) return;
  try {
    publish(fleet::read_yaml(text, path));
    published_text_ = text;
    rejected_text_.clear();
  } catch (const std::exception& error) {
    rejected_text_ = text;
    warn("endpoint_list_failed", error.what());
    publish_failure();
  }
}

}  // namespace heronwell::daemon
