#include "path/strand.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace heronwell::path {
namespace {

constexpr std::size_t kScanned = 64;  // groups looked at in one go, for people

std::unique_ptr<groups::Shares> shares_of(const Config& config) {
  if (!config.groups) return nullptr;
  std::vector<groups::Shares::ClassFacts> facts;
  for (const auto& cls : config.module.classes) facts.push_back({cls.threads, cls.in_order});
  return std::make_unique<groups::Shares>(config.groups->tree, std::move(facts), config.groups->settings);
}

}  // namespace

Strand::Strand(StrandWorld& world, const Config& config, Metrics& metrics, std::uint64_t seed,
               std::size_t shards)
    : world_(world),
      config_(config),
      metrics_(metrics),
      host_(config.module, seed, 1, shares_of(config)),
      book_(config.names.zones, config.names.kinds, world.unix_offset()),
      orders_(shards) {
  if (config.groups) schedules_ = config.groups->schedules;
  host_.explain(!config_.trace.file.empty());
}

void Strand::read(const std::vector<Told>& told) {
  lag_ = std::max(lag_, world_.now() - told.front().at);
  for (const auto& one : told) on(one);
  run();
}

void Strand::on(const Told& told) {
  const auto now = told.at;
  if (const auto* took = std::get_if<Took>(&told.what)) return host_.arrive(now, took->ask);
  if (const auto* left = std::get_if<Left>(&told.what)) return host_.client_left(left->ticket);
  if (const auto* end = std::get_if<router::AttemptEnd>(&told.what))
    return host_.attempt_ended(world_.now(), *end);
  if (const auto* grown = std::get_if<Outgrown>(&told.what))
    return host_.answer_outgrown(world_.now(), grown->ticket, grown->attempt);
  if (const auto* note = std::get_if<Noted>(&told.what))
    return host_.note(note->ticket, note->attempt, note->kind, note->amount);
  if (const auto* probe = std::get_if<Probed>(&told.what))
    return host_.probed(probe->engine, probe->result, probe->latency, probe->load);
  if (const auto* peer = std::get_if<PeerCame>(&told.what)) return host_.peer(peer->from, peer->bytes);
  list(std::get<Listed>(told.what));
}

void Strand::list(const Listed& listed) {
  if (listed.failed) {
    metrics_.list_failures->Increment();
    return host_.listing({ListKind::failed, {}});
  }
  auto change = book_.take(listed.entries, world_.now());
  metrics_.list_updates->Increment();
  for (const auto& why : change.refused) {
    metrics_.list_refused->Increment();
    world_.log(Level::warn, fmt::format(R"({{"event":"list_entry_refused","gateway":{},"detail":{}}})",
                                        quoted(config_.name), quoted(why)));
  }
  if (!change.changed) return;
  // The shards hear of it before any command that the module gives in the light of it.
  const auto fleet = std::make_shared<const Fleet>(book_.engines());
  for (auto& orders : orders_) orders.emplace_back(fleet);
  const auto ready = std::ranges::count(change.listing.engines, EngineState::ready, &EngineEntry::state);
  metrics_.engines_ready->Set(static_cast<double>(ready));
  world_.log(Level::info, fmt::format(R"({{"event":"list","gateway":{},"engines":{},"ready":{}}})",
                                      quoted(config_.name), listed.entries.size(), ready));
  host_.listing(std::move(change.listing));
  if (ready > 0 && ready_) std::exchange(ready_, nullptr)();
}

void Strand::run() {
  do {
    commands_.clear();
    host_.run(world_.now(), commands_);
    for (auto& command : commands_) carry_out(command);
    for (std::size_t i = 0; i < orders_.size(); ++i)
      if (!orders_[i].empty()) world_.order(i, orders_[i]);
  } while (host_.next_due() <= Time::zero());
}

void Strand::closing() {
  host_.closing();
  run();
}

void Strand::carry_out(router::Command& command) {
  if (const auto* line = std::get_if<router::TraceLine>(&command)) {
    world_.log(Level::info, fmt::format(R"({{"event":"decision","gateway":{},"detail":{}}})",
                                        quoted(config_.name), quoted(line->text)));
  } else if (const auto* tell = std::get_if<router::TellPeers>(&command)) {
    world_.tell_peers(*tell);
  } else if (std::holds_alternative<router::ObserveList>(command)) {
    // The list sources are subscribed to from the start.
  } else if (const auto* probe = std::get_if<router::ProbeEngine>(&command)) {
    orders_[probe->engine % orders_.size()].emplace_back(std::move(command));
  } else {
    const auto ticket = std::visit(
        [](const auto& c) -> Ticket {
          if constexpr (requires { c.ticket; }) return c.ticket;
          return 0;
        },
        command);
    orders_[shard_of(ticket)].emplace_back(std::move(command));
  }
}

void Strand::measure() {
  for (std::size_t c = 0; c < metrics_.classes.size(); ++c) {
    const auto view = host_.gateway().view(static_cast<ClassIndex>(c));
    metrics_.classes[c].queued->Set(static_cast<double>(view.queued));
    metrics_.classes[c].running->Set(view.running);
    metrics_.classes[c].budget->Set(view.budget);
  }
  metrics_.pool->Set(host_.gateway().pool());
  if (host_.groups() != nullptr) apply_schedules();
  metrics_.decision_lag->Set(std::chrono::duration<double>(std::exchange(lag_, Time::zero())).count());
}

// ---- groups ----------------------------------------------------------------------------------------------
void Strand::apply_schedules() {
  auto& shares = *host_.groups();
  const auto unix = world_.now() + world_.unix_offset();
  shares.at(world_.now(), host_.gateway().pool());
  shares.adjust(schedules_->at(unix));
  auto in_force = schedules_->in_force(unix);
  if (in_force == schedules_in_force_) return;
  metrics_.groups_schedules->Increment();
  world_.log(Level::info,
             fmt::format(R"({{"event":"group_schedule","gateway":{},"in_force":{}}})", quoted(config_.name),
                         quoted(fmt::format("{}", fmt::join(in_force, ", ")))));
  schedules_in_force_ = std::move(in_force);
}

bool Strand::scan_groups() {
  std::vector<groups::GroupView> some;
  if (groups_next_ == 0) {
    groups_json_ = fmt::format(R"({{"gateway":{},"pool_threads":{:.1f},"schedules":[)", quoted(config_.name),
                               host_.gateway().pool());
    for (std::size_t i = 0; i < schedules_in_force_.size(); ++i)
      groups_json_ += (i > 0 ? "," : "") + quoted(schedules_in_force_[i]);
    groups_json_ += "],\"groups\":[";
    metrics_.begin_groups();
  }
  const bool more = host_.groups()->view_some(groups_next_, kScanned, some);
  for (const auto& g : some) {
    groups_json_ += fmt::format(
        R"({}{{"path":{},"depth":{},"made":{},"weight":{:.4g},"share_set":{:.4f},"share_got":{:.4f},"lent":{:.4f},"engine_seconds":{:.3f},"told_seconds":{:.3f},"queued":{},"running_threads":{},"refused":{{)",
        g.depth > 0 ? "," : "", quoted(g.path), g.depth, g.made, g.weight, g.share_set, g.share_got, g.lent,
        g.used_s, g.heard_s, g.queued, g.running);
    bool first = true;
    for (const auto& [limit, count] : g.refused) {
      groups_json_ += fmt::format(R"({}"{}":{})", first ? "" : ",", limit, count);
      first = false;
    }
    groups_json_ += "}}";
    metrics_.count_group(g);
  }
  if (!more) {
    groups_next_ = 0;
    metrics_.end_groups(groups_json_ + "]}");
  }
  return more;
}

void Strand::reload_groups(const std::string& text) {
  try {
    auto section = yaml::Section::text(text, config_.groups->file);
    auto plan = groups::Plan::read(section);
    const auto before = host_.groups()->requests();
    host_.groups()->at(world_.now(), host_.gateway().pool());
    host_.groups()->reload(std::move(plan.tree));
    schedules_ = std::move(plan.schedules);
    const SelectorsPtr selectors = std::make_shared<const groups::Selectors>(std::move(plan.selectors));
    for (auto& orders : orders_) orders.emplace_back(selectors);
    metrics_.groups_reloaded->Increment();
    world_.log(Level::info, fmt::format(R"({{"event":"groups_reloaded","gateway":{},"requests":{}}})",
                                        quoted(config_.name), before));
    groups_next_ = 0;  // the scan's place is void
    apply_schedules();
    run();
  } catch (const yaml::Error& error) {
    metrics_.groups_refused_reload->Increment();
    world_.log(Level::warn, fmt::format(R"({{"event":"groups_reload_refused","gateway":{},"detail":{}}})",
                                        quoted(config_.name), quoted(error.what())));
  }
}

}  // namespace heronwell::path
