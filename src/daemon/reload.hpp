// Reloads the platform's configuration on SIGHUP.
//
// The platform replaces the file (ROUTER_CONFIG) and sends SIGHUP when the address of the event bus has
// changed. The reload runs on the first shard's thread without blocking, in these steps:
//
//   1. The whole file is read and checked as at the start (config::read_platform).
//   2. Only the address of the event bus is applied: the poll in progress is aborted, and the new address is
//      polled at once for the events after the last one that was applied (event_bus_source.hpp). If the
//      address is the same, nothing changes. The current endpoint list stays in effect until the new bus
//      sends further events.
//   3. All other settings keep their values from the start; changing them needs a restart.
//
// If the file is incomplete or invalid, nothing changes, because the whole file is checked first. One warning
// `reload_rejected` names the field and the expected value, and the operator can send SIGHUP again.
//
// Outside the platform there is no reload by signal: the endpoint file and the resource groups' file are
// polled for changes (endpoint_file_source.hpp, decision_thread.hpp).
#pragma once

#include "config/config.hpp"
#include "daemon/decision_thread.hpp"

namespace heronwell::daemon {

// `config` is the current configuration, which must be one of the platform. Does not throw: a failure is
// logged.
void reload_platform_config(const config::Config& config, DecisionThread& decision_thread);

}  // namespace heronwell::daemon
