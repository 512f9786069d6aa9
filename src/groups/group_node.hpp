// GroupNode holds the state of one group: its settings, its place in the tree, and one section for each class
// that makes decisions about groups. Only the class named above a section writes to it; all may read it.
// There are two exceptions: schedules change the settings, and GroupDirectory also updates other sections
// when it creates or removes a group.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "groups/share_context.hpp"
#include "groups/tree.hpp"

namespace heronwell::groups {

enum class Limit;

using GroupNumber = std::uint32_t;  // index in GroupNodes; the number of a removed group is reused
constexpr GroupNumber kRootGroup = 0;

// The order of siblings: groups below their minimum first, then by the parent's policy, then by number.
struct SiblingKey {
  bool after_minima = true;
  double order = 0;
  GroupNumber node = 0;
  auto operator<=>(const SiblingKey&) const = default;
};

struct GroupNode {
  // ---- written by GroupDirectory -------------------------------------------------------------------------
  Group settings;          // including changes by schedules, which Shares and FairShares write
  bool on_demand = false;  // created from a template, or for requests of removed groups
  bool live = true;        // false: removed, the number can be reused
  GroupNumber parent = kRootGroup;
  std::vector<GroupNumber> children;
  std::size_t position = 0;  // among its parent's children
  Time created_at{};

  // ---- written by FairShares -----------------------------------------------------------------------------
  struct Share {
    double virtual_time = 0;    // thread-seconds used per weight; bounded relative to the floor
    double floor = 0;           // smallest virtual time of the waiting children; never decreases
    double child_weight = 0;    // of all children
    double active_weight = 0;   // of children with requests
    double used_here = 0;       // thread-seconds, on this router
    double used_elsewhere = 0;  // thread-seconds, on other routers as reported by gossip
    double recent = 0;          // thread-seconds, decayed sum of both
    Time recent_at{};           // when `recent` was last decayed
    std::size_t requests = 0;   // in this group and below, queued or in flight
    Time idle_since{};          // since when the group has no queued request
  } share;

  // ---- written by SiblingOrder ---------------------------------------------------------------------------
  struct Queue {
    SiblingKey key;          // its place in the order of its siblings
    std::size_t queued = 0;  // requests, in this group and below
    std::vector<std::uint32_t> queued_by_class;
    std::vector<std::set<SiblingKey>> waiting;  // children with queued requests, by class
    // Requests of a leaf, by class, in order of arrival.
    std::vector<std::set<std::pair<std::uint64_t, RequestId>>> requests;
  } queue;

  // ---- written by GroupDispatch --------------------------------------------------------------------------
  struct Hold {
    Time since{};                    // since when it holds siblings back; zero: it does not
    Time skip_until{};               // the group is skipped until then
    Time skip_time{};                // length of the last skip period
    Time enough_freed_at{};          // when enough threads had become free; zero: not yet
    std::uint64_t freed_before = 0;  // value of ShareContext::freed_threads at `since`
  } hold;
  Time holds_started_at{};  // when holds of its children were last started

  // ---- written by GroupLimits ----------------------------------------------------------------------------
  struct Usage {
    unsigned running = 0;  // threads
    double memory_mb = 0;  // by estimates
    std::map<Limit, std::uint64_t> rejected;
  } usage;

  // ---- written by ShareGossip ----------------------------------------------------------------------------
  std::uint64_t last_gossip_message = 0;  // number of the message that last carried its sum

  [[nodiscard]] bool leaf() const { return children.empty(); }
};

using GroupNodes = std::vector<GroupNode>;  // 0: the root

}  // namespace heronwell::groups
