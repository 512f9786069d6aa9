// QueryDeletions tracks queries that engines have not deleted yet, and delays or rejects requests that reuse
// their request ids.
//
// On the platform, a query outlives the connection on which it was started; an engine identifies it by the
// client's request id. When an attempt is cancelled, or its engine can't be polled any more, the query is
// therefore deleted with a separate call (query_deletion.hpp). The attempt counts as in flight until the
// engine has confirmed the deletion or has dropped the query by itself.
//
// It guards against these failures:
// - A client reuses a request id while the engine is still deleting the previous query of that id. The engine
//   would drop the new query as a duplicate, or the late deletion would delete the new query; either way the
//   client would time out. The new attempt waits here until the deletion is confirmed, so that an engine has
//   at most one query of an id.
// - A client abandons a request that is not idempotent after an attempt of it may have run, and sends the
//   same id again. If the request ran again, its effect would happen twice. The id is recorded until the
//   deadline of the request.
// - Many attempts are cancelled at once, and their deletions exhaust the descriptors. Only `max_connections`
//   deletions have a connection at a time; the others wait.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "path/client_request.hpp"

namespace heronwell::path {

class QueryDeletion;

class QueryDeletions {
 public:
  // `max_connections` limits the deletions that have a connection at a time (`removals` of the platform's
  // settings).
  explicit QueryDeletions(std::size_t max_connections);
  ~QueryDeletions();

  // ---- deletions
  [[nodiscard]] bool can_open_connection() const;
  // Adds a deletion of a query with this request id.
  void add(std::uint64_t number, const std::string& request_id, std::shared_ptr<QueryDeletion> deletion);
  // Removes a finished deletion. Its request id stays pending until confirm().
  void remove(std::uint64_t number);
  // Must be called when the attempt of a deletion has ended. After the last pending deletion of the id,
  // returns the attempt that waited for it, which may start now; otherwise returns null.
  [[nodiscard]] AttemptPtr confirm(const std::string& request_id);
  // Stops all deletions without deleting the queries or ending the attempts. Used when the shard is
  // destroyed.
  void abandon_all();
  [[nodiscard]] std::size_t size() const { return deletions_.size(); }

  // ---- attempts that wait until the previous query of their request id is deleted
  // Returns false if no query of the request id is being deleted, so that the attempt may start at once.
  bool wait(const AttemptPtr& attempt);
  // Returns false if the attempt was not waiting here.
  bool stop_waiting(const AttemptPtr& attempt);
  // Removes and returns the attempt that waits for this id, or returns null if there is none.
  AttemptPtr take_waiting(const std::string& request_id);

  // ---- request ids whose query may have run
  void remember_possibly_ran(const std::string& request_id, Time until);
  [[nodiscard]] bool may_have_run(const std::string& request_id) const {
    return possibly_ran_until_.contains(request_id);
  }
  void forget_expired(Time now);

 private:
  struct Pending {
    unsigned attempts = 0;  // attempts whose queries the engines have not deleted yet
    AttemptPtr waiting;
  };

  std::size_t max_connections_;
  std::map<std::uint64_t, std::shared_ptr<QueryDeletion>> deletions_;  // by connection number
  std::unordered_map<std::string, Pending> pending_;                   // by request id
  std::unordered_map<std::string, Time> possibly_ran_until_;           // by request id
};

}  // namespace heronwell::path
