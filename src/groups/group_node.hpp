// A group as the shares know it: its settings and place in the tree, and one part for each module that
// decides something about it. A part is written by the module that is named beside it, and read by all.
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

using GroupNumber = std::uint32_t;  // index in GroupNodes; of a removed group: used again
constexpr GroupNumber kRootGroup = 0;

// The order of siblings: those under their minimum first, then by policy, then by number.
struct SiblingKey {
  bool after_minima = true;
  double order = 0;
  GroupNumber node = 0;
  auto operator<=>(const SiblingKey&) const = default;
};

struct GroupNode {
  // ---- GroupDirectory ------------------------------------------------------------------------------------
  Group settings;          // with what a schedule made of it
  bool on_demand = false;  // by a template, or for requests of removed groups
  bool live = true;        // false: removed, the number is free
  GroupNumber parent = kRootGroup;
  std::vector<GroupNumber> children;
  std::size_t position = 0;  // among its parent's children
  Time created_at{};

  // ---- FairShares ----------------------------------------------------------------------------------------
  struct Share {
    double virtual_time = 0;    // engine time used over weight, against siblings; bounded around the floor
    double floor = 0;           // virtual time of the waiting child that has used least; never falls
    double child_weight = 0;    // of all children
    double active_weight = 0;   // of children with requests
    double used_here = 0;       // thread-seconds, on this router
    double used_elsewhere = 0;  // thread-seconds, on others by their gossip
    double recent = 0;          // thread-seconds, faded sum of both
    Time recent_at{};           // when `recent` was last faded
    std::size_t requests = 0;   // in it and below, queued or in flight
    Time idle_since{};          // without a queued request
  } share;

  // ---- SiblingOrder --------------------------------------------------------------------------------------
  struct Queue {
    SiblingKey key;          // its place among its siblings
    std::size_t queued = 0;  // requests, in it and below
    std::vector<std::uint32_t> queued_by_class;
    std::vector<std::set<SiblingKey>> waiting;  // children with queued requests, by class
    std::vector<std::set<std::pair<std::uint64_t, RequestId>>>
        requests;  // of a leaf, by class, as they arrived
  } queue;

  // ---- GroupDispatch -------------------------------------------------------------------------------------
  struct Hold {
    Time since{};                    // holds others back since; zero: it does not
    Time skip_until{};               // others go until
    Time skip_time{};                // for so long the last time
    Time enough_freed_at{};          // when enough threads had become free; zero: not yet
    std::uint64_t freed_before = 0;  // threads that had become free when it began to hold
  } hold;
  Time holds_started_at{};  // its children, whose patience runs

  // ---- GroupLimits ---------------------------------------------------------------------------------------
  struct Usage {
    unsigned running = 0;  // threads
    double memory_mb = 0;  // by estimates
    std::map<Limit, std::uint64_t> rejected;
  } usage;

  // ---- ShareGossip ---------------------------------------------------------------------------------------
  std::uint64_t last_gossip_message = 0;  // number of the message that last carried its sum

  [[nodiscard]] bool leaf() const { return children.empty(); }
};

using GroupNodes = std::vector<GroupNode>;  // 0: the root

}  // namespace heronwell::groups
