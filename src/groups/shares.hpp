// Shares divides the engines among resource groups: it decides which queued request starts next, by group. It
// owns the state of the requests that are queued or in flight, and passes each event to the classes that
// decide: `group_directory` (which group), `group_limits` (whether a request is admitted and may start),
// `sibling_order` and `fair_shares` (which sibling is first by use and weight), `group_dispatch` (which
// request is next), `query_costs`, `share_gossip` and `group_view`.
//
// The decision engine chooses class, time and engine, and asks here which of its queued requests may start. A
// request that its group holds back stays in the decision engine's own queue. No I/O, no clock: the caller
// passes the time.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "groups/fair_shares.hpp"
#include "groups/group_directory.hpp"
#include "groups/group_dispatch.hpp"
#include "groups/group_limits.hpp"
#include "groups/group_request.hpp"
#include "groups/group_view.hpp"
#include "groups/query_costs.hpp"
#include "groups/share_context.hpp"
#include "groups/share_gossip.hpp"
#include "groups/share_settings.hpp"
#include "groups/sibling_order.hpp"
#include "groups/tree.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::groups {

class Shares final : public DispatchOrder {
 public:
  using ClassFacts = groups::ClassFacts;
  Shares(Tree tree, std::vector<ClassFacts> classes, ShareSettings settings);
  Shares(const Shares&) = delete;  // its members refer to one another
  Shares& operator=(const Shares&) = delete;
  Shares(Shares&&) = delete;
  Shares& operator=(Shares&&) = delete;
  ~Shares() override = default;

  // ---- events, called by the request registry before it passes them to the decision engine ----------------
  // Sets the current time and the threads of this router. A `now` before the previous one is raised to it.
  void advance_time(Time now, double pool);
  // Admits and queues a request, or returns the limit for which it is rejected. `from_template`: a template
  // produced the path, so the group may be created.
  Limit admit(RequestId id, std::string_view path, bool from_template, const Query& query);
  // An attempt ended; `attempt` is the number of its start. `ran` is false if it provably never ran.
  void attempt_ended(RequestId id, std::size_t attempt, bool ran);
  void request_requeued(RequestId id);  // the request is queued again after an attempt
  void request_finished(RequestId id);  // the request has its final answer
  // Returns the requests that waited or ran longer than their group allows. The caller must time them out.
  // Each is returned once.
  std::vector<OverdueRequest> take_overdue();
  // The time at which take_overdue() returns the next request; Time::max(): none.
  [[nodiscard]] Time next_deadline() const { return limits_.next_deadline(); }

  // ---- called by the decision engine ----------------------------------------------------------------------
  const std::vector<RequestId>& next_requests(ClassIndex cls) override {
    return dispatch_.next_requests(cls);
  }
  void attempt_started(RequestId id) override;

  // ---- changes of configuration ---------------------------------------------------------------------------
  // Replaces the tree. A group keeps its state if its path, or its previous path (key `was`), is unchanged.
  // Requests of removed groups wait and run until their end in the group "removed". No request is lost, and
  // debts and credits are kept.
  void reload(Tree tree);
  // Sets weights and thread limits by schedule. A field that is nullopt has the value in the tree; so have
  // groups that are not listed.
  struct Override {
    std::string path;
    std::optional<double> weight, min_threads, max_threads;
    bool operator==(const Override&) const = default;
  };
  void set_overrides(const std::vector<Override>& overrides);

  // ---- other routers --------------------------------------------------------------------------------------
  static constexpr std::size_t kMaxGossipBytes = ShareGossip::kMaxMessageBytes;
  static constexpr char kGossipFirstByte = ShareGossip::kFirstByte;
  // Returns up to `max_count` messages about groups whose engine time has changed; the groups that were not
  // sent for the longest time come first.
  std::vector<std::string> gossip_messages(std::size_t max_count) { return gossip_.messages(max_count); }
  // Charges the engine time in a message of another router. A malformed message is ignored. The first message
  // of a router, or of a restarted one, charges nothing.
  void receive_gossip(std::uint32_t from, std::string_view bytes);

  // ---- views ----------------------------------------------------------------------------------------------
  // Describes all groups, parents before children, siblings in the configured order.
  [[nodiscard]] std::vector<GroupView> view() const;
  // Describes some groups per call, see GroupViews::scan. reload() invalidates the cursor.
  using ViewCursor = GroupNumber;
  bool scan_views(ViewCursor& next, std::size_t max_count, std::vector<GroupView>& out) const {
    return views_.scan(next, max_count, out);
  }
  [[nodiscard]] std::size_t requests() const { return requests_.size(); }
  // Compares every stored sum with the values that it adds up. Returns a description of the first difference;
  // "" if there is none.
  [[nodiscard]] std::string find_inconsistency() const;

 private:
  // ---- shares.cpp: requests ----
  void enqueue(RequestId id, GroupRequest& request);
  void begin_to_wait(GroupNumber group);
  void dequeue(RequestId id, GroupRequest& request);
  void erase_request(RequestId id);
  void charge(GroupNumber leaf, double amount, UsedBy used_by);
  void charge_running();
  // ---- shares_reload.cpp: replacing the tree and the settings of its groups ----
  // New numbers of the old groups, by their old number; nullopt: removed.
  using Places = std::vector<std::optional<GroupNumber>>;
  [[nodiscard]] Places find_places(const GroupNodes& old, const std::vector<GroupNumber>& by_depth);
  void carry_over(const GroupNodes& old, const std::vector<GroupNumber>& by_depth, const Places& places);
  void remember_leaves(const GroupNodes& old, const std::vector<GroupNumber>& by_depth, const Places& places);
  void carry_over(const GroupRequests& old, const Places& places);
  void resume(RequestId id, const GroupRequest& before, GroupNumber leaf);
  void apply(const Override& change);
  void revert(const Override& change);
  void set_shares(GroupNumber group, double weight, double min_threads, double max_threads);
  // ---- shares_consistency.cpp ----
  struct Sums {  // recomputed from the requests
    std::vector<std::size_t> queued, requests;
    std::vector<unsigned> running;
  };
  [[nodiscard]] std::string add_request(RequestId id, const GroupRequest& request, Sums& sums) const;
  [[nodiscard]] std::string check_sums(GroupNumber group, const Sums& sums) const;
  [[nodiscard]] std::string check_order(GroupNumber group) const;

  ShareContext context_;
  Tree tree_;
  GroupNodes nodes_;
  GroupRequests requests_;
  std::set<RequestId> running_;  // requests with attempts in flight
  std::vector<Override> overrides_;
  std::uint64_t arrivals_ = 0;
  Time last_charge_{};

  SiblingOrder order_{context_, nodes_};
  FairShares shares_{context_, nodes_, order_};
  QueryCosts costs_;
  GroupLimits limits_{context_, nodes_};
  GroupDispatch dispatch_{context_, nodes_, requests_, limits_, shares_};
  ShareGossip gossip_{context_, nodes_};
  GroupDirectory directory_{context_, nodes_, order_, gossip_};
  GroupViews views_{context_, nodes_};
};

}  // namespace heronwell::groups
