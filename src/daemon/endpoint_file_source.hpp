// EndpointFileSource reads the endpoint list from a YAML file (list.file), which it polls every list.watch.
//
// A file that cannot be read is ignored until the next poll, because a writer may have removed it and not yet
// renamed the new one. A file that can be read but not parsed is reported once and parsed again when its text
// has changed, because a writer may not have finished it. The last valid list stays in effect.
#pragma once

#include "daemon/endpoint_source.hpp"

namespace heronwell::daemon {

class EndpointFileSource final : public EndpointSource {
 public:
  EndpointFileSource(Executor executor, const config::Config& config, Publish publish)
      : EndpointSource(executor, config, std::move(publish)) {}

 private:
  asio::awaitable<void, Executor> watch() override;
  void read_once();

  std::string published_text_;  // text of the current list
  std::string rejected_text_;   // last text that could not be parsed; empty after a valid one
};

}  // namespace heronwell::daemon
