#include "groups/share_settings.hpp"

#include "groups/tree.hpp"

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// Upper bounds of the settings. With longer times, a share would not be reached within an operator's shift.
constexpr Time kMaxSlack = 10s;     // another group waits for up to the slack
constexpr Time kMaxPatience = 10s;  // threads may idle for this time
constexpr Time kMaxCredit = 60s;    // a returning group may run alone for this time
constexpr Time kMaxDebt = 1h;       // a group that was ahead may wait for this time
constexpr Time kMaxFade = 1h;       // beyond it, credit and debt would come from another day's traffic
constexpr Time kMaxMadeIdle = 24h;  // a group that was unused for a day is not needed

}  // namespace

ShareSettings ShareSettings::read(yaml::Section& section) {
  ShareSettings settings;
  const auto read_duration = [&](const char* key, Time fallback, Time max) {
    const auto value = section.duration(key, fallback);
    if (value > max) section.fail(key, "expected at most " + yaml::duration_text(max));
    return value;
  };
  settings.slack = read_duration("slack", settings.slack, kMaxSlack);
  settings.patience = read_duration("patience", settings.patience, kMaxPatience);
  settings.credit = read_duration("credit", settings.credit, kMaxCredit);
  settings.debt = read_duration("debt", settings.debt, kMaxDebt);
  settings.fade = read_duration("fade", settings.fade, kMaxFade);
  settings.most_made = section.count("most_made", settings.most_made, 0, Tree::kMaxGroups);
  settings.made_idle = read_duration("made_idle", settings.made_idle, kMaxMadeIdle);
  return settings;
}

}  // namespace heronwell::groups
