#include "rehearsal/demo.hpp"

#include <fmt/format.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

#include "base/json.hpp"
#include "rehearsal/engine.hpp"
#include "rehearsal/list.hpp"
#include "rehearsal/maps.hpp"

namespace heronwell::rehearsal {

struct Demo::Parts {
  boost::asio::io_context context{1};
  Recorder null_recorder;
  std::vector<std::unique_ptr<Engine>> engines;
  std::unique_ptr<ListServer> list;
  std::thread thread;
};

Demo::Demo(unsigned engines) : parts_(std::make_unique<Parts>()) {
  std::vector<fleet::EndpointEntry> entries;
  parts_->list = std::make_unique<ListServer>(parts_->context, std::uint16_t{0}, parts_->null_recorder);
  for (unsigned i = 0; i < engines; ++i) {
    EngineOptions options;
    options.name = fmt::format("engine-{}", i);
    options.seed = i + 1;
    auto engine = std::make_unique<Engine>(parts_->context, options, parts_->null_recorder);
    fleet::EndpointEntry entry;
    entry.name = options.name;
    entry.host = "127.0.0.1";
    entry.port = engine->port();
    entry.zone = "local";
    entry.machine_type = "small";
    entries.push_back(entry);
    parts_->engines.push_back(std::move(engine));
  }
  parts_->list->set(std::move(entries));
  parts_->thread = std::thread([this] {
    const auto guard = boost::asio::make_work_guard(parts_->context);
    parts_->context.run();
  });
}

Demo::~Demo() {
  parts_->context.stop();
  parts_->thread.join();
}

std::string Demo::config(std::uint16_t port) const {
  std::string schema;
  put_json_text(schema, kMaps);
  return fmt::format(R"yaml(gateway: {{name: demo, zone: local}}
listen: {{port: {}}}
list: {{consul: [{{port: {}}}]}}
zones: [local]
kinds: {{small: {{cores: 4, memory: 4GiB}}}}
classes:
  lookup: {{aim: 500ms, give_up: 5s, worth: 1, threads: 1, waits_for_group: true}}
  report: {{aim: 5s, give_up: 30s, worth: 5, threads: 2, waits_for_group: true}}
  plan-load: {{aim: 5s, give_up: 30s, worth: 3, threads: 1, effect: unsafe, holds_group: true}}
loads: {{fields: [inflight, util], in_answers: true, tells_cost: true}}
engines: {{never_began: ["53300"]}}
graphql: {{sdl: {}}}
groups:
  groups:
    interactive: {{weight: 3}}
    reports: {{weight: 1, groups: {{daily: {{}}, adhoc: {{max_queued: 100}}}}}}
    teams: {{weight: 2}}
  selectors:
    - {{header: {{x-team: {{pattern: "(?P<team>[a-z0-9-]+)"}}}}, group: "teams.${{team}}"}}
    - {{class: report, tag: daily, group: reports.daily}}
    - {{class: report, group: reports.adhoc}}
  default: interactive
log: {{requests: problems}}
)yaml",
                     port, parts_->list->port(), schema);
}

}  // namespace heronwell::rehearsal
