// The shares of the resource groups in the engines: which queued request goes next, by group. Owns the
// requests that are queued and in flight and hands each event to the parts that decide: `group_directory`
// (which group), `group_limits` (may it come, may it start), `sibling_order` and `fair_shares` (whose turn by
// use and weight), `group_dispatch` (which request now), `query_costs`, `share_gossip` and `group_view`.
//
// The decision engine chooses class, moment and engine; it asks here which of the requests it has queued may
// go. A wait for a group's turn is a wait in the decision engine's own queue. No I/O, no clock: the time is
// passed in.
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
  Shares(const Shares&) = delete;  // its parts refer to one another
  Shares& operator=(const Shares&) = delete;
  Shares(Shares&&) = delete;
  Shares& operator=(Shares&&) = delete;
  ~Shares() override = default;

  // ---- called by the request registry, before the decision engine learns of it ----------------------------
  // A `now` before the last one counts as that; `pool`: threads of this router.
  void advance_time(Time now, double pool);
  // Admits a request, which is queued; or names the limit for which it is rejected. `made`: a template named
  // the group, which may be made.
  Limit admit(RequestId id, std::string_view path, bool from_template, const Query& query);
  void attempt_ended(RequestId id, std::size_t attempt, bool ran);  // one attempt, by the number of its start
  void request_requeued(RequestId id);                              // queued again, after an attempt
  void request_finished(RequestId id);                              // has its final answer
  // Requests past their group's longest wait or run time: to be timed out. Each is returned once.
  std::vector<OverdueRequest> take_overdue();
  [[nodiscard]] Time next_deadline() const {
    return limits_.next_deadline();
  }  // of take_overdue(); Time::max(): never

  // ---- called by the decision engine ----------------------------------------------------------------------
  const std::vector<RequestId>& next_requests(ClassIndex cls) override {
    return dispatch_.next_requests(cls);
  }
  void attempt_started(RequestId id) override;

  // ---- changes of configuration ---------------------------------------------------------------------------
  // Takes another tree: groups go on by their path, or by the path they `were`; requests of those removed
  // wait and run to their end in the group "removed". No request is lost, and debts and credits stay.
  void reload(Tree tree);
  // Weights and thread limits by schedule; nullopt in a field: as the tree has it. Groups not named go back.
  struct Override {
    std::string path;
    std::optional<double> weight, min_threads, max_threads;
    bool operator==(const Override&) const = default;
  };
  void set_overrides(const std::vector<Override>& overrides);

  // ---- other routers --------------------------------------------------------------------------------------
  static constexpr std::size_t kMaxGossipBytes = ShareGossip::kMaxMessageBytes;
  static constexpr char kGossipFirstByte = ShareGossip::kFirstByte;
  // At most so many messages about groups whose engine time has changed, those not sent for longest first.
  std::vector<std::string> gossip_messages(std::size_t most) { return gossip_.messages(most); }
  // Ignores a message that is malformed. The first one of a router, or of one restarted, charges nothing.
  void receive_gossip(std::uint32_t from, std::string_view bytes);

  // ---- views ----------------------------------------------------------------------------------------------
  // All groups, parents before children, siblings in the order written.
  [[nodiscard]] std::vector<GroupView> view() const;
  // The same in pieces, see GroupViews::scan; reload() makes all earlier numbers void.
  using ViewCursor = GroupNumber;
  bool scan_views(ViewCursor& next, std::size_t most, std::vector<GroupView>& out) const {
    return views_.scan(next, most, out);
  }
  [[nodiscard]] std::size_t requests() const { return requests_.size(); }
  // Every sum against what it is the sum of; "": all agree.
  [[nodiscard]] std::string find_inconsistency() const;

 private:
  // ---- shares.cpp: requests ----
  void enqueue(RequestId id, GroupRequest& request);
  void begin_to_wait(GroupNumber group);
  void dequeue(RequestId id, GroupRequest& request);
  void erase_request(RequestId id);
  void charge(GroupNumber leaf, double amount, UsedBy used_by);
  void charge_running();
  // ---- shares_reload.cpp: another tree, other settings of its groups ----
  using Places = std::vector<std::optional<GroupNumber>>;  // of old groups, by their number
  [[nodiscard]] Places find_places(const GroupNodes& old, const std::vector<GroupNumber>& by_depth);
  void carry_over(const GroupNodes& old, const std::vector<GroupNumber>& by_depth, const Places& places);
  void remember_leaves(const GroupNodes& old, const std::vector<GroupNumber>& by_depth, const Places& places);
  void carry_over(const GroupRequests& old, const Places& places);
  void resume(RequestId id, const GroupRequest& before, GroupNumber leaf);
  void apply(const Override& change);
  void revert(const Override& change);
  void set_shares(GroupNumber group, double weight, double min_threads, double max_threads);
  // ---- shares_consistency.cpp ----
  struct Sums {  // of what the requests say
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
  std::set<RequestId> running_;  // with attempts in flight
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
