#include "daemon/decisions.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;
constexpr auto kMeasure = 500ms;      // between updates of gauges
constexpr std::size_t kScanned = 64;  // groups looked at in one go, for people,
constexpr auto kScanStep = 5ms;       // and the time between two goes

std::unique_ptr<groups::Shares> shares_of(const Config& config) {
  if (!config.groups) return nullptr;
  std::vector<groups::Shares::ClassFacts> facts;
  for (const auto& cls : config.module.classes) facts.push_back({cls.threads, cls.in_order});
  return std::make_unique<groups::Shares>(config.groups->tree, std::move(facts), config.groups->settings);
}

std::string text_of(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace

Decisions::Decisions(asio::io_context& context, const Config& config, Metrics& metrics, std::uint64_t seed)
    : context_(context),
      config_(config),
      metrics_(metrics),
      host_(config.module, seed, 1, shares_of(config)),
      book_(config.names.zones, config.names.kinds, unix_offset()),
      inbox_(context.get_executor(), [this](std::vector<Told>& told) { read(told); }),
      timer_(context.get_executor()),
      measuring_(context.get_executor()),
      lists_(context.get_executor(), config,
             [this](Listed listed) {
               inbox_.put(Told{steady_now(), std::move(listed)});
             }),
      groups_watch_(context.get_executor()),
      groups_scan_(context.get_executor()) {
  if (config.groups) schedules_ = config.groups->schedules;
  if (config.groups) groups_text_ = text_of(config.groups->file);
}

void Decisions::start(std::vector<Shard*> shards) {
  shards_ = std::move(shards);
  orders_.resize(shards_.size());
  if (config_.peers.at) open_peers();
  host_.explain(!config_.trace.file.empty());
  lists_.start();
  run();
  measure();
  if (config_.groups) scan_groups();
  if (config_.groups && !config_.groups->file.empty()) watch_groups();
}

void Decisions::stop() {
  stopped_ = true;
  lists_.stop();
  timer_.cancel();
  measuring_.cancel();
  groups_watch_.cancel();
  groups_scan_.cancel();
  boost::system::error_code ignored;
  if (peers_) peers_->close(ignored);
}

void Decisions::read(std::vector<Told>& told) {
  if (stopped_) return;
  lag_ = std::max(lag_, steady_now() - told.front().at);
  for (const auto& one : told) on(one);
  run();
}

void Decisions::on(const Told& told) {
  const auto now = told.at;
  if (const auto* took = std::get_if<Took>(&told.what)) return host_.arrive(now, took->ask);
  if (const auto* left = std::get_if<Left>(&told.what)) return host_.client_left(left->ticket);
  if (const auto* end = std::get_if<router::AttemptEnd>(&told.what))
    return host_.attempt_ended(steady_now(), *end);
  if (const auto* grown = std::get_if<Outgrown>(&told.what))
    return host_.answer_outgrown(steady_now(), grown->ticket, grown->attempt);
  if (const auto* note = std::get_if<Noted>(&told.what))
    return host_.note(note->ticket, note->attempt, note->kind, note->amount);
  if (const auto* probe = std::get_if<Probed>(&told.what))
    return host_.probed(probe->engine, probe->result, probe->latency, probe->load);
  if (const auto* peer = std::get_if<PeerCame>(&told.what)) return host_.peer(peer->from, peer->bytes);
  list(std::get<Listed>(told.what));
}

void Decisions::list(const Listed& listed) {
  if (listed.failed) {
    metrics_.list_failures->Increment();
    return host_.listing({ListKind::failed, {}});
  }
  auto change = book_.take(listed.entries, steady_now());
  metrics_.list_updates->Increment();
  for (const auto& why : change.refused) {
    metrics_.list_refused->Increment();
    spdlog::warn(R"({{"event":"list_entry_refused","gateway":{},"detail":{}}})", quoted(config_.name),
                 quoted(why));
  }
  if (!change.changed) return;
  // The shards hear of it before any command that the module gives in the light of it.
  const auto fleet = std::make_shared<const Fleet>(book_.engines());
  for (auto& orders : orders_) orders.emplace_back(fleet);
  const auto ready = std::ranges::count(change.listing.engines, EngineState::ready, &EngineEntry::state);
  metrics_.engines_ready->Set(static_cast<double>(ready));
  spdlog::info(R"({{"event":"list","gateway":{},"engines":{},"ready":{}}})", quoted(config_.name),
               listed.entries.size(), ready);
  host_.listing(std::move(change.listing));
  if (ready > 0 && ready_) std::exchange(ready_, nullptr)();
}

void Decisions::run() {
  do {
    commands_.clear();
    host_.run(steady_now(), commands_);
    for (auto& command : commands_) carry_out(command);
    for (std::size_t i = 0; i < shards_.size(); ++i) shards_[i]->orders().put_all(orders_[i]);
  } while (host_.next_due() <= Time::zero());
  arm();
}

void Decisions::carry_out(router::Command& command) {
  if (const auto* line = std::get_if<router::TraceLine>(&command)) {
    spdlog::info(R"({{"event":"decision","gateway":{},"detail":{}}})", quoted(config_.name),
                 quoted(line->text));
  } else if (const auto* tell = std::get_if<router::TellPeers>(&command)) {
    tell_peers(*tell);
  } else if (std::holds_alternative<router::ObserveList>(command)) {
    // The list sources are subscribed to from the start.
  } else if (const auto* probe = std::get_if<router::ProbeEngine>(&command)) {
    orders_[probe->engine % shards_.size()].emplace_back(std::move(command));
  } else {
    const auto ticket = std::visit(
        [](const auto& c) -> Ticket {
          if constexpr (requires { c.ticket; }) return c.ticket;
          return 0;
        },
        command);
    orders_[Shard::shard_of(ticket)].emplace_back(std::move(command));
  }
}

void Decisions::arm() {
  const auto due = host_.next_due();
  if (stopped_ || due == armed_) return;
  armed_ = due;
  timer_.expires_at(at(due));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    armed_ = Time::max();
    run();
  });
}

void Decisions::measure() {
  for (std::size_t c = 0; c < metrics_.classes.size(); ++c) {
    const auto view = host_.gateway().view(static_cast<ClassIndex>(c));
    metrics_.classes[c].queued->Set(static_cast<double>(view.queued));
    metrics_.classes[c].running->Set(view.running);
    metrics_.classes[c].budget->Set(view.budget);
  }
  metrics_.pool->Set(host_.gateway().pool());
  if (host_.groups() != nullptr) apply_schedules();
  metrics_.decision_lag->Set(std::chrono::duration<double>(std::exchange(lag_, Time::zero())).count());
  measuring_.expires_after(kMeasure);
  measuring_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) measure();
  });
}

// ---- groups ----------------------------------------------------------------------------------------------
void Decisions::apply_schedules() {
  auto& shares = *host_.groups();
  const auto unix = steady_now() + unix_offset();
  shares.at(steady_now(), host_.gateway().pool());
  shares.adjust(schedules_->at(unix));
  auto in_force = schedules_->in_force(unix);
  if (in_force == schedules_in_force_) return;
  metrics_.groups_schedules->Increment();
  spdlog::info(R"({{"event":"group_schedule","gateway":{},"in_force":{}}})", quoted(config_.name),
               quoted(fmt::format("{}", fmt::join(in_force, ", "))));
  schedules_in_force_ = std::move(in_force);
}

// What people see of the groups, made in pieces, so that a large tree holds up no decision.
void Decisions::scan_groups() {
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
  groups_scan_.expires_after(more ? kScanStep : kMeasure);
  groups_scan_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) scan_groups();
  });
}

// A file half written, or wrong, changes nothing: it is read again when it has changed.
void Decisions::watch_groups() {
  groups_watch_.expires_after(config_.list.watch);
  groups_watch_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    auto text = text_of(config_.groups->file);
    if (!text.empty() && text != groups_text_) {
      groups_text_ = text;
      reload_groups(text);
    }
    watch_groups();
  });
}

void Decisions::reload_groups(const std::string& text) {
  try {
    auto section = yaml::Section::text(text, config_.groups->file);
    auto plan = groups::Plan::read(section);
    const auto before = host_.groups()->requests();
    host_.groups()->at(steady_now(), host_.gateway().pool());
    host_.groups()->reload(std::move(plan.tree));
    schedules_ = std::move(plan.schedules);
    const SelectorsPtr selectors = std::make_shared<const groups::Selectors>(std::move(plan.selectors));
    for (auto& orders : orders_) orders.emplace_back(selectors);
    metrics_.groups_reloaded->Increment();
    spdlog::info(R"({{"event":"groups_reloaded","gateway":{},"requests":{}}})", quoted(config_.name), before);
    groups_next_ = 0;  // the scan's place is void
    apply_schedules();
    run();
  } catch (const yaml::Error& error) {
    metrics_.groups_refused_reload->Increment();
    spdlog::warn(R"({{"event":"groups_reload_refused","gateway":{},"detail":{}}})", quoted(config_.name),
                 quoted(error.what()));
  }
}

// ---- other gateways --------------------------------------------------------------------------------------
void Decisions::open_peers() {
  std::ifstream file(config_.peers.key_file, std::ios::binary);
  std::stringstream key;
  key << file.rdbuf();
  if (!file) throw std::invalid_argument("peers.key_file: cannot read " + config_.peers.key_file);
  codec_.emplace(key.str(), config_.module.me,
                 static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()));
  for (const auto& [number, where] : config_.peers.members)
    if (number != config_.module.me) members_[number] = {asio::ip::make_address(where.host), where.port};
  peers_.emplace(context_, asio::ip::udp::endpoint(asio::ip::make_address(config_.peers.at->host),
                                                   config_.peers.at->port));
  peers_->non_blocking(true);
  hear_peers();
}

void Decisions::hear_peers() {
  peers_->async_receive_from(
      asio::buffer(datagram_), sender_, [this](boost::system::error_code error, std::size_t size) {
        if (stopped_ || error == asio::error::operation_aborted) return;
        if (!error) {
          const auto opened = codec_->open(std::string_view(datagram_.data(), size));
          using enum PeerFault;
          (opened.fault == none        ? metrics_.peers_taken
           : opened.fault == forged    ? metrics_.peers_forged
           : opened.fault == malformed ? metrics_.peers_malformed
                                       : metrics_.peers_replayed)
              ->Increment();
          if (opened.fault == none && opened.from < config_.module.gateways)
            inbox_.put(Told{steady_now(), PeerCame{opened.from, std::string(opened.payload)}});
        }
        hear_peers();
      });
}

void Decisions::tell_peers(const router::TellPeers& tell) {
  if (!peers_) return;
  for (const auto& [number, where] : members_) {
    if (tell.to && *tell.to != number) continue;
    boost::system::error_code ignored;  // a datagram may be lost anyway
    peers_->send_to(asio::buffer(codec_->seal(tell.bytes)), where, 0, ignored);
    metrics_.peers_sent->Increment();
  }
}

}  // namespace heronwell::daemon
