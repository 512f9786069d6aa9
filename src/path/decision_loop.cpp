#include "path/decision_loop.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace heronwell::path {
namespace {

// Number of groups that one call of refresh_group_views() processes. This takes a fraction of a millisecond,
// too short to delay a decision noticeably.
constexpr std::size_t kGroupsPerRefresh = 64;

std::unique_ptr<groups::Shares> make_shares(const Config& config) {
  if (!config.groups) return nullptr;
  std::vector<groups::Shares::ClassFacts> class_facts;
  for (const auto& cls : config.module.classes) class_facts.push_back({cls.threads, cls.ordered_by_key});
  return std::make_unique<groups::Shares>(config.groups->tree, std::move(class_facts),
                                          config.groups->settings);
}

}  // namespace

DecisionLoop::DecisionLoop(DecisionEnvironment& environment, const Config& config, Metrics& metrics,
                           std::uint64_t seed, std::size_t shard_count)
    : environment_(environment),
      config_(config),
      metrics_(metrics),
      registry_(config.module, seed, 1, make_shares(config)),
      endpoints_(config.names.zones, config.names.machine_types, environment.unix_offset()),
      shard_commands_(shard_count) {
  if (config.groups) schedules_ = config.groups->schedules;
  registry_.collect_load_snapshots(!config_.trace.file.empty());
}

void DecisionLoop::receive(const std::vector<TimedEvent>& events) {
  max_event_delay_ = std::max(max_event_delay_, environment_.now() - events.front().at);
  for (const auto& event : events) on(event);
  run();
}

void DecisionLoop::on(const TimedEvent& timed) {
  const auto& event = timed.event;
  if (const auto* received = std::get_if<RequestReceived>(&event))
    return registry_.add_request(timed.at, received->spec);
  if (const auto* disconnected = std::get_if<ClientDisconnected>(&event))
    return registry_.client_disconnected(disconnected->ticket);
  if (const auto* end = std::get_if<router::AttemptEnd>(&event))
    return registry_.attempt_finished(environment_.now(), *end);
  if (const auto* overflowed = std::get_if<ResponseOverflowed>(&event))
    return registry_.response_overflowed(environment_.now(), overflowed->ticket, overflowed->attempt);
  if (const auto* progress = std::get_if<AttemptProgressed>(&event))
    return registry_.attempt_progressed(progress->ticket, progress->attempt, progress->kind,
                                        progress->amount);
  if (const auto* check = std::get_if<HealthCheckFinished>(&event))
    return registry_.health_check_finished(check->engine, check->result, check->latency, check->load);
  if (const auto* gossip = std::get_if<GossipReceived>(&event))
    return registry_.gossip_received(gossip->from_router, gossip->bytes);
  apply_endpoints(std::get<EndpointsChanged>(event));
}

void DecisionLoop::apply_endpoints(const EndpointsChanged& changed) {
  if (changed.failed) {
    metrics_.endpoint_list_failures->Increment();
    return registry_.endpoints_updated({UpdateKind::failed, {}});
  }
  auto change = endpoints_.apply(changed.entries, environment_.now());
  metrics_.endpoint_list_updates->Increment();
  for (const auto& rejected : change.rejected) {
    metrics_.endpoints_rejected->Increment();
    environment_.log(Level::warn, fmt::format(R"({{"event":"endpoint_rejected","router":{},"detail":{}}})",
                                              quoted(config_.name), quoted(rejected.text())));
  }
  if (!change.changed) return;
  // The new endpoints are queued to the shards before any command that is decided with them. Otherwise a
  // shard could send a query to an engine that has started to drain, or to the address that an engine had
  // before it moved.
  const auto endpoints = std::make_shared<const EndpointMap>(endpoints_.engines());
  for (auto& commands : shard_commands_) commands.emplace_back(endpoints);
  const auto ready = std::ranges::count(change.update.endpoints, EndpointState::ready, &Endpoint::state);
  metrics_.engines_ready->Set(static_cast<double>(ready));
  environment_.log(Level::info,
                   fmt::format(R"({{"event":"endpoints_updated","router":{},"engines":{},"ready":{}}})",
                               quoted(config_.name), changed.entries.size(), ready));
  registry_.endpoints_updated(std::move(change.update));
  if (ready > 0 && on_ready_) std::exchange(on_ready_, nullptr)();
}

void DecisionLoop::run() {
  do {
    commands_.clear();
    registry_.run(environment_.now(), commands_);
    for (auto& command : commands_) execute(command);
    for (std::size_t i = 0; i < shard_commands_.size(); ++i)
      if (!shard_commands_[i].empty()) environment_.deliver(i, shard_commands_[i]);
  } while (registry_.next_due() <= Time::zero());
}

void DecisionLoop::begin_shutdown() {
  registry_.begin_shutdown();
  run();
}

void DecisionLoop::execute(router::Command& command) {
  if (const auto* line = std::get_if<router::WriteLogLine>(&command)) {
    environment_.log(Level::info, fmt::format(R"({{"event":"decision","router":{},"detail":{}}})",
                                              quoted(config_.name), quoted(line->text)));
  } else if (const auto* gossip = std::get_if<router::ForwardGossip>(&command)) {
    environment_.send_gossip(*gossip);
  } else if (std::holds_alternative<router::SetEndpointWatch>(command)) {
    // Nothing to do: the endpoint list sources are subscribed from the start.
  } else if (const auto* check = std::get_if<router::RunHealthCheck>(&command)) {
    // A health check has no request and therefore no ticket. All checks of an engine run on the same shard.
    shard_commands_[check->engine % shard_commands_.size()].emplace_back(std::move(command));
  } else {
    const auto ticket = std::visit(
        [](const auto& one) -> Ticket {
          if constexpr (requires { one.ticket; }) return one.ticket;
          return 0;
        },
        command);
    shard_commands_[shard_of(ticket)].emplace_back(std::move(command));
  }
}

void DecisionLoop::update_metrics() {
  for (std::size_t c = 0; c < metrics_.classes.size(); ++c) {
    const auto view = registry_.decision_engine().class_view(static_cast<ClassIndex>(c));
    metrics_.classes[c].queued->Set(static_cast<double>(view.queued));
    metrics_.classes[c].running_threads->Set(view.running_threads);
    metrics_.classes[c].budget_threads->Set(view.budget_threads);
  }
  metrics_.pool_threads->Set(registry_.decision_engine().pool_threads());
  if (registry_.groups() != nullptr) apply_schedules();
  metrics_.decision_lag->Set(
      std::chrono::duration<double>(std::exchange(max_event_delay_, Time::zero())).count());
}

// ---- groups ----------------------------------------------------------------------------------------------
void DecisionLoop::apply_schedules() {
  auto& shares = *registry_.groups();
  const auto unix_time = environment_.now() + environment_.unix_offset();
  shares.advance_time(environment_.now(), registry_.decision_engine().pool_threads());
  shares.set_overrides(schedules_->overrides_at(unix_time));
  auto in_force = schedules_->active_names(unix_time);
  if (in_force == schedules_in_force_) return;
  metrics_.group_schedule_changes->Increment();
  environment_.log(Level::info,
                   fmt::format(R"({{"event":"group_schedule","router":{},"in_force":{}}})",
                               quoted(config_.name), quoted(fmt::format("{}", fmt::join(in_force, ", ")))));
  schedules_in_force_ = std::move(in_force);
}

bool DecisionLoop::refresh_group_views() {
  if (next_group_ == 0) {
    groups_json_ = fmt::format(R"({{"gateway":{},"pool_threads":{:.1f},"schedules":[)", quoted(config_.name),
                               registry_.decision_engine().pool_threads());
    for (std::size_t i = 0; i < schedules_in_force_.size(); ++i)
      groups_json_ += (i > 0 ? "," : "") + quoted(schedules_in_force_[i]);
    groups_json_ += "],\"groups\":[";
    metrics_.begin_group_scan();
  }
  std::vector<groups::GroupView> views;
  const bool more = registry_.groups()->scan_views(next_group_, kGroupsPerRefresh, views);
  for (const auto& group : views) {
    append_group_view(group);
    metrics_.add_group(group);
  }
  if (!more) {
    next_group_ = 0;
    metrics_.finish_group_scan(groups_json_ + "]}");
  }
  return more;
}

void DecisionLoop::append_group_view(const groups::GroupView& group) {
  groups_json_ += fmt::format(
      R"({}{{"path":{},"depth":{},"made":{},"weight":{:.4g},"share_set":{:.4f},"share_got":{:.4f},"lent":{:.4f},"engine_seconds":{:.3f},"told_seconds":{:.3f},"queued":{},"running_threads":{},"refused":{{)",
      group.depth > 0 ? "," : "", quoted(group.path), group.depth, group.made, group.weight, group.share_set,
      group.share_got, group.lent, group.used_s, group.used_elsewhere_s, group.queued, group.running);
  bool first = true;
  for (const auto& [limit, count] : group.refused) {
    groups_json_ += fmt::format(R"({}"{}":{})", first ? "" : ",", limit, count);
    first = false;
  }
  groups_json_ += "}}";
}

void DecisionLoop::reload_groups(const std::string& text) {
  try {
    auto section = yaml::Section::text(text, config_.groups->file);
    auto plan = groups::Plan::read(section);
    const auto open_requests = registry_.groups()->requests();
    registry_.groups()->advance_time(environment_.now(), registry_.decision_engine().pool_threads());
    registry_.groups()->reload(std::move(plan.tree));
    schedules_ = std::move(plan.schedules);
    const SelectorsPtr selectors = std::make_shared<const groups::Selectors>(std::move(plan.selectors));
    for (auto& commands : shard_commands_) commands.emplace_back(selectors);
    metrics_.group_reloads->Increment();
    environment_.log(Level::info, fmt::format(R"({{"event":"groups_reloaded","router":{},"requests":{}}})",
                                              quoted(config_.name), open_requests));
    next_group_ = 0;  // restart the scan: its position refers to the old tree
    apply_schedules();
    run();
  } catch (const yaml::Error& error) {
    metrics_.group_reloads_rejected->Increment();
    environment_.log(Level::warn,
                     fmt::format(R"({{"event":"groups_reload_rejected","router":{},"detail":{}}})",
                                 quoted(config_.name), quoted(error.what())));
  }
}

}  // namespace heronwell::path
