#include "daemon/decision_thread.hpp"

#include "daemon/read_file.hpp"

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;
// Interval between two updates of the gauges, and between two complete views of the resource groups. It is
// well below the usual scrape interval of Prometheus (seconds), and long enough for a negligible cost.
constexpr auto kMetricsInterval = 500ms;
// Interval between two pieces of one view of the groups. A tree may have thousands of groups; because the
// view is built in pieces, it delays a decision by the duration of one piece at most.
constexpr auto kGroupViewPieceInterval = 5ms;

}  // namespace

DecisionThread::DecisionThread(asio::io_context& context, const config::Config& config,
                               path::Metrics& metrics, std::uint64_t seed)
    : context_(context),
      config_(config),
      metrics_(metrics),
      decision_loop_(*this, config, metrics, seed, config.threads),
      shard_events_(context.get_executor(),
                    [this](std::vector<path::TimedEvent>& events) { receive_events(events); }),
      run_timer_(context.get_executor()),
      metrics_timer_(context.get_executor()),
      groups_file_timer_(context.get_executor()),
      group_views_timer_(context.get_executor()),
      endpoint_source_(
          create_endpoint_source(context.get_executor(), config, [this](path::EndpointsChanged endpoints) {
            shard_events_.push(path::TimedEvent{steady_now(), std::move(endpoints)});
          })) {
  if (config.groups) groups_text_ = read_file(config.groups->file);
}

void DecisionThread::start(std::vector<ShardThread*> shards) {
  shards_ = std::move(shards);
  if (config_.gossip.listen)
    gossip_socket_.emplace(context_, config_, metrics_, [this](path::GossipReceived gossip) {
      shard_events_.push(path::TimedEvent{steady_now(), std::move(gossip)});
    });
  endpoint_source_->start();
  decision_loop_.run();
  schedule_next_run();
  update_metrics();
  if (config_.groups) refresh_group_views();
  if (config_.groups && !config_.groups->file.empty()) watch_groups_file();
}

void DecisionThread::stop() {
  stopped_ = true;
  endpoint_source_->stop();
  run_timer_.cancel();
  metrics_timer_.cancel();
  groups_file_timer_.cancel();
  group_views_timer_.cancel();
  if (gossip_socket_) gossip_socket_->close();
}

void DecisionThread::begin_shutdown() {
  decision_loop_.begin_shutdown();
  schedule_next_run();
}

void DecisionThread::receive_events(std::vector<path::TimedEvent>& events) {
  if (stopped_) return;
  decision_loop_.receive(events);
  schedule_next_run();
}

void DecisionThread::deliver(std::size_t shard, std::vector<path::ShardCommand>& commands) {
  shards_[shard]->commands().push_all(commands);
}

void DecisionThread::send_gossip(const router::ForwardGossip& gossip) {
  if (gossip_socket_) gossip_socket_->send(gossip);
}

void DecisionThread::schedule_next_run() {
  const auto due = decision_loop_.next_due();
  if (stopped_ || due == run_scheduled_for_) return;
  run_scheduled_for_ = due;
  run_timer_.expires_at(to_time_point(due));
  run_timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    run_scheduled_for_ = Time::max();
    decision_loop_.run();
    schedule_next_run();
  });
}

void DecisionThread::update_metrics() {
  decision_loop_.update_metrics();
  metrics_timer_.expires_after(kMetricsInterval);
  metrics_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) update_metrics();
  });
}

void DecisionThread::refresh_group_views() {
  const bool more = decision_loop_.refresh_group_views();
  group_views_timer_.expires_after(more ? kGroupViewPieceInterval : kMetricsInterval);
  group_views_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) refresh_group_views();
  });
}

void DecisionThread::watch_groups_file() {
  groups_file_timer_.expires_after(config_.endpoint_list.file_watch_interval);
  groups_file_timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    reload_groups_if_changed();
    watch_groups_file();
  });
}

// The file may be read while a writer has truncated it and not yet written it completely. Such a file must
// not replace the groups by an empty or incomplete tree: an empty text is ignored, an invalid one is logged
// by DecisionLoop::reload_groups and changes nothing, and the file is parsed again when its text has changed.
void DecisionThread::reload_groups_if_changed() {
  const auto text = read_file(config_.groups->file);
  if (text.empty() || text == groups_text_) return;
  groups_text_ = text;
  decision_loop_.reload_groups(text);
  schedule_next_run();
}

}  // namespace heronwell::daemon
