// The sub-command `audit` checks the seven audit rules against the records of a day. The exit code is
// `failed` if a rule is violated.
#include "rehearsal/audit.hpp"

#include <iostream>
#include <memory>

#include "cli/commands.hpp"

namespace heronwell::cli {
namespace {

ExitCode audit_day(const std::string& folder) {
  const auto result = rehearsal::audit(folder);
  std::cout << rehearsal::report(result) << std::flush;
  return result.kept() ? ExitCode::done : ExitCode::failed;
}

}  // namespace

void add_audit_command(CommandLine& line) {
  auto folder = std::make_shared<std::string>();
  auto* command = line.add_command("audit", "Check the seven audit rules against the records of a day",
                                   [folder] { return audit_day(*folder); });
  command->add_option("folder", *folder, "Folder with the records of a day")->required();
}

}  // namespace heronwell::cli
