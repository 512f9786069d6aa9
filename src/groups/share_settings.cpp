#include "groups/share_settings.hpp"

#include "groups/tree.hpp"

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// Most that operators may set. Longer ones would make a share that is not held within a shift on call.
constexpr Time kMaxSlack = 10s;     // the slack is time that another group waits
constexpr Time kMaxPatience = 10s;  // threads may idle for so long
constexpr Time kMaxCredit = 60s;    // a group that comes back may run alone for so long
constexpr Time kMaxDebt = 1h;       // a group that was ahead may wait for so long
constexpr Time kMaxFade = 1h;       // beyond, credit and debt would be of another day's traffic
constexpr Time kMaxMadeIdle = 24h;  // a made group that nobody used for a day is not in use

}  // namespace

ShareSettings ShareSettings::read(yaml::Section& section) {
  ShareSettings settings;
  const auto span = [&](const char* key, Time fallback, Time most) {
    const auto value = section.duration(key, fallback);
    if (value > most) section.fail(key, "expected at most " + yaml::duration_text(most));
    return value;
  };
  settings.slack = span("slack", settings.slack, kMaxSlack);
  settings.patience = span("patience", settings.patience, kMaxPatience);
  settings.credit = span("credit", settings.credit, kMaxCredit);
  settings.debt = span("debt", settings.debt, kMaxDebt);
  settings.fade = span("fade", settings.fade, kMaxFade);
  settings.most_made = section.count("most_made", settings.most_made, 0, Tree::kMaxGroups);
  settings.made_idle = span("made_idle", settings.made_idle, kMaxMadeIdle);
  return settings;
}

}  // namespace heronwell::groups
