#include "experiment/report.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace heronwell::experiment {
namespace {

double share(const Row& row) {
  return row.score.all.worth_asked > 0 ? row.score.all.worth_served / row.score.all.worth_asked : 0;
}

std::string escaped(std::string_view text) {
  std::string out;
  for (const char c : text)
    out += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
  return out;
}

std::string percent(double part) { return fmt::format("{:.1f}", 100 * part); }
std::string interval(const Estimate& e) { return fmt::format("{} to {}", percent(e.low), percent(e.high)); }
std::string signed_percent(const Estimate& e) {
  return fmt::format("{:+.1f} ({:+.1f} to {:+.1f})", 100 * e.mean, 100 * e.low, 100 * e.high);
}

// Runs of one place in a plan, in the order of seeds.
using Group = std::tuple<std::string, double, std::string, std::string>;  // site, x, point, policy
std::map<Group, std::vector<const Row*>> grouped(const std::vector<Row>& rows) {
  std::map<Group, std::vector<const Row*>> groups;
  for (const auto& row : rows) groups[{row.key.site, row.x, row.key.point, row.key.policy}].push_back(&row);
  return groups;
}

// ---- charts ----------------------------------------------------------------------------------------------
class Gnuplot {
 public:
  Gnuplot() {
    folder_ = std::filesystem::temp_directory_path() / fmt::format("heronwell-report-{}", ::getpid());
    std::filesystem::create_directories(folder_);
  }
  ~Gnuplot() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Gnuplot(const Gnuplot&) = delete;
  Gnuplot& operator=(const Gnuplot&) = delete;

  // `script`: after terminal and output were set. Returns the picture.
  std::string draw(const std::string& script) {
    const auto in = folder_ / "chart.gp", out = folder_ / "chart.svg", log = folder_ / "chart.log";
    std::filesystem::remove(out);
    std::ofstream(in)
        << "set terminal svg size 860,360 dynamic font 'sans,11' background 'white'\nset output '"
        << out.string() << "'\nset grid ytics lc rgb '#dddddd'\nset key outside right\n"
        << script;
    const int status = std::system(fmt::format("gnuplot '{}' >'{}' 2>&1", in.string(), log.string()).c_str());
    if (status != 0) throw std::runtime_error("gnuplot failed: " + read(log));
    auto svg = read(out);
    return svg.substr(std::min(svg.size(), svg.find("<svg")));
  }

 private:
  static std::string read(const std::filesystem::path& file) {
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
  }
  std::filesystem::path folder_;
};

std::string quoted(std::string text) {
  std::ranges::replace(text, '\'', ' ');
  std::ranges::replace(text, '_', ' ');
  return "'" + text + "'";
}

struct Series {
  std::string name, data;  // data: lines of columns
};
std::string plot(const std::vector<Series>& all, const std::string& style, const std::string& columns) {
  std::string blocks, out = "plot ";
  for (std::size_t i = 0; i < all.size(); ++i) {
    blocks += fmt::format("$d{} << END\n{}END\n", i, all[i].data);
    out += fmt::format("{}$d{} using {} with {} title {}", i > 0 ? ", " : "", i, columns, style,
                       quoted(all[i].name));
  }
  return blocks + out + "\n";
}

std::string worth_over_x(Gnuplot& gnuplot, const std::vector<Line>& lines, const std::string& site,
                         const std::string& axis, const std::vector<std::string>& policies) {
  std::vector<Series> series;
  for (const auto& policy : policies) {
    Series one{policy, ""};
    for (const auto& line : lines)
      if (line.site == site && line.policy == policy)
        one.data += fmt::format("{} {} {} {}\n", line.x, 100 * line.worth.mean, 100 * line.worth.low,
                                100 * line.worth.high);
    if (!one.data.empty()) series.push_back(std::move(one));
  }
  std::set<double> xs;
  for (const auto& line : lines)
    if (line.site == site) xs.insert(line.x);
  std::string script =
      fmt::format("set xlabel {}\nset ylabel 'worth in time, percent'\nset yrange [*:102]\n", quoted(axis));
  if (!xs.empty() && *xs.begin() > 0 && *xs.rbegin() / *xs.begin() > 20) script += "set logscale x\n";
  return gnuplot.draw(script + plot(series, "yerrorlines", "1:2:3:4"));
}

std::string over_time(Gnuplot& gnuplot, const std::map<std::string, std::vector<const Row*>>& by_policy,
                      const std::vector<std::string>& policies) {
  std::vector<Series> series;
  std::string marks;
  std::size_t length = 0;
  for (const auto& policy : policies) {
    const auto found = by_policy.find(policy);
    if (found == by_policy.end()) continue;
    std::vector<Second> sums;
    for (const auto* row : found->second) {
      sums.resize(std::max(sums.size(), row->score.seconds.size()));
      for (std::size_t i = 0; i < row->score.seconds.size(); ++i) {
        sums[i].worth_asked += row->score.seconds[i].worth_asked;
        sums[i].worth_served += row->score.seconds[i].worth_served;
      }
    }
    Series one{policy, ""};
    for (std::size_t i = 0; i < sums.size(); ++i)
      if (sums[i].worth_asked > 0)
        one.data += fmt::format("{} {}\n", static_cast<double>(i) + 0.5,
                                100 * sums[i].worth_served / sums[i].worth_asked);
    length = std::max(length, sums.size());
    if (!one.data.empty()) series.push_back(std::move(one));
  }
  if (series.empty()) return "";
  const auto& troubles = by_policy.begin()->second.front()->troubles;
  for (std::size_t i = 0; i < troubles.size(); ++i) {
    const auto& t = troubles[i];
    marks += fmt::format(
        "set object {0} rect from {1},graph 0 to {2},graph 1 fc rgb '#e8c0a0' fs solid 0.35 noborder behind\n"
        "set label {0} {3} at {1},graph {4} font ',8' tc rgb '#804000'\n",
        i + 1, t.at_s, t.at_s + std::max(0.2, t.for_s), quoted(t.kind),
        0.97 - 0.05 * static_cast<double>(i % 6));
  }
  return gnuplot.draw(marks +
                      fmt::format("set xlabel 'second of arrival'\nset ylabel 'worth in time, percent'\n"
                                  "set xrange [0:{}]\nset yrange [0:102]\n",
                                  length) +
                      plot(series, "lines lw 1.5", "1:2"));
}

std::string distribution(Gnuplot& gnuplot, const std::map<std::string, std::vector<const Row*>>& by_policy,
                         const std::vector<std::string>& policies, std::size_t cls) {
  std::vector<Series> series;
  for (const auto& policy : policies) {
    const auto found = by_policy.find(policy);
    if (found == by_policy.end()) continue;
    std::map<double, std::uint64_t> bins;
    std::uint64_t asked = 0, sum = 0;
    for (const auto* row : found->second) {
      asked += row->score.classes[cls].asked;
      for (const auto& bin : row->score.times[cls]) bins[bin.upto_ms] += bin.answers;
    }
    Series one{policy, ""};
    for (const auto& [upto, answers] : bins) {
      sum += answers;
      one.data += fmt::format(
          "{} {}\n", upto,
          100.0 * static_cast<double>(sum) / static_cast<double>(std::max<std::uint64_t>(1, asked)));
    }
    if (!one.data.empty()) series.push_back(std::move(one));
  }
  if (series.empty()) return "";
  return gnuplot.draw(
      "set logscale x\nset xlabel 'ms until served'\nset ylabel 'of those asked, percent'\nset yrange "
      "[0:102]\n" +
      plot(series, "lines lw 1.5", "1:2"));
}

std::string tallies(const std::map<std::string, std::vector<const Row*>>& by_policy,
                    const std::vector<std::string>& policies) {
  std::string out =
      "<table><tr><th>policy</th><th></th><th>asked</th><th>in "
      "time</th><th>late</th><th>refused</th><th>failed</th>"
      "<th>lost</th><th>worth, percent</th><th>p50 ms</th><th>p99 ms</th></tr>\n";
  for (const auto& policy : policies) {
    const auto found = by_policy.find(policy);
    if (found == by_policy.end()) continue;
    const auto add = [&](auto member, bool of_classes) {
      const auto& first = found->second.front()->score.*member;
      for (std::size_t i = 0; i < first.size(); ++i) {
        Tally sum;
        std::map<double, std::uint64_t> bins;
        for (const auto* row : found->second) {
          const auto& t = (row->score.*member)[i];
          sum.asked += t.asked, sum.in_time += t.in_time, sum.late += t.late, sum.refused += t.refused;
          sum.failed += t.failed, sum.lost += t.lost;
          sum.worth_asked += t.worth_asked, sum.worth_served += t.worth_served;
          if (of_classes)
            for (const auto& bin : row->score.times[i]) bins[bin.upto_ms] += bin.answers;
        }
        std::vector<Bin> times;
        times.reserve(bins.size());
        for (const auto& [upto, answers] : bins) times.push_back({upto, answers});
        out += fmt::format(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</"
            "td><td>{}</td>",
            policy, escaped(first[i].name), sum.asked, sum.in_time, sum.late, sum.refused, sum.failed,
            sum.lost, sum.worth_asked > 0 ? percent(sum.worth_served / sum.worth_asked) : "-");
        out += of_classes ? fmt::format("<td>{:.0f}</td><td>{:.0f}</td></tr>\n", quantile(times, 0.5),
                                        quantile(times, 0.99))
                          : "<td></td><td></td></tr>\n";
      }
    };
    add(&Score::classes, true);
    add(&Score::tenants, false);
  }
  return out + "</table>\n";
}

}  // namespace

std::vector<Line> lines_of(const std::vector<Row>& rows, const std::vector<std::string>& policies) {
  const auto groups = grouped(rows);
  std::vector<Line> lines;
  for (const auto& [group, members] : groups) {
    const auto& [site, x, point, policy] = group;
    Line line{site, policy, point, x, {}, {}, 0, members.size(), 0};
    std::vector<double> worth, difference;
    std::map<std::uint64_t, double> base;
    if (!policies.empty())
      if (const auto found = groups.find({site, x, point, policies.front()}); found != groups.end())
        for (const auto* row : found->second) base[row->key.seed] = share(*row);
    for (const auto* row : members) {
      worth.push_back(share(*row));
      line.bound += row->score.all.worth_asked > 0 ? row->score.bound / row->score.all.worth_asked : 0;
      line.left += row->left.size();
      if (const auto found = base.find(row->key.seed); found != base.end())
        difference.push_back(worth.back() - found->second);
    }
    line.bound /= static_cast<double>(members.size());
    line.worth = bootstrap(worth);
    line.against = bootstrap(difference);
    lines.push_back(std::move(line));
  }
  const auto rank = [&](const Line& line) {
    return std::ranges::find(policies, line.policy) - policies.begin();
  };
  std::ranges::stable_sort(lines, [&](const Line& a, const Line& b) {
    return std::tuple(a.site, a.x, a.point, rank(a)) < std::tuple(b.site, b.x, b.point, rank(b));
  });
  return lines;
}

std::string table_of(const std::vector<Line>& lines) {
  auto out = fmt::format("{:12} {:24} {:18} {:>6} {:>15} {:>6} {:>24} {:>6}\n", "site", "point", "policy",
                         "worth", "95 percent", "bound", "against the first", "seeds");
  for (const auto& line : lines)
    out += fmt::format("{:12} {:24} {:18} {:>6} {:>15} {:>6} {:>24} {:>6}\n", line.site, line.point,
                       line.policy, percent(line.worth.mean), interval(line.worth), percent(line.bound),
                       signed_percent(line.against), line.seeds);
  return out;
}

std::string html_of(const Store& store) {
  const auto rows = store.rows();
  if (rows.empty()) throw std::runtime_error("no run is done yet");
  const auto policies = store.policies();
  const auto lines = lines_of(rows, policies);
  Gnuplot gnuplot;
  std::string out = fmt::format(
      "<!doctype html><html lang=\"en\"><head><meta "
      "charset=\"utf-8\"><title>{0}</title><style>body{{font:15px "
      "sans-serif;max-width:62em;margin:2em auto}}table{{border-collapse:collapse;margin:1em "
      "0}}td,th{{padding:2px "
      "8px;border-bottom:1px solid "
      "#ddd;text-align:right}}td:nth-child(-n+2),th:nth-child(-n+2){{text-align:left}}"
      "pre{{background:#f4f4f4;padding:8px;overflow:auto}}</style></head><body><h1>{0}</h1>\n<p>{1}</p>\n",
      escaped(store.about("name")), escaped(store.about("about")));
  double virtual_s = 0, real_s = 0;
  std::size_t left = 0;
  for (const auto& row : rows) virtual_s += row.virtual_s, real_s += row.real_s, left += row.left.size();
  out += fmt::format(
      "<p>{} runs, {:.0f} s of virtual time in {:.0f} s of one core's; {} fidelity; build {}. Worth in time: "
      "of the "
      "worth that clients asked for, the part earned. Intervals: 95 percent, bootstrapped over seeds; "
      "differences "
      "are seed by seed. Bound: what a policy would earn that saw when each query comes and what it costs; "
      "none can "
      "earn more.{}</p>\n",
      rows.size(), virtual_s, real_s, store.about("fidelity"), escaped(store.about("build")),
      left > 0 ? fmt::format(" <b>{} routers had not forgotten requests at the end of a run.</b>", left)
               : "");
  std::vector<std::string> sites;
  for (const auto& line : lines)
    if (sites.empty() || sites.back() != line.site) sites.push_back(line.site);
  for (const auto& site : sites) {
    out += fmt::format("<h2>{}</h2>\n", escaped(site));
    const auto axis = store.about("axis");
    std::set<double> xs;
    for (const auto& line : lines)
      if (line.site == site) xs.insert(line.x);
    if (xs.size() > 1) out += worth_over_x(gnuplot, lines, site, axis, policies);
    out +=
        "<table><tr><th>point</th><th>policy</th><th>worth, percent</th><th>95 "
        "percent</th><th>bound</th><th>against "
        "the first policy</th><th>seeds</th></tr>\n";
    for (const auto& line : lines)
      if (line.site == site)
        out += fmt::format(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            escaped(line.point), line.policy, percent(line.worth.mean), interval(line.worth),
            percent(line.bound), signed_percent(line.against), line.seeds);
    out += "</table>\n";
    std::map<std::pair<double, std::string>, std::map<std::string, std::vector<const Row*>>> points;
    for (const auto& row : rows)
      if (row.key.site == site) points[{row.x, row.key.point}][row.key.policy].push_back(&row);
    for (const auto& [point, by_policy] : points) {
      out += fmt::format("<h3>{}</h3>\n", escaped(point.second.empty() ? site : point.second));
      out += over_time(gnuplot, by_policy, policies) + tallies(by_policy, policies);
      const auto& classes = by_policy.begin()->second.front()->score.classes;
      for (std::size_t c = 0; c < classes.size(); ++c)
        if (const auto chart = distribution(gnuplot, by_policy, policies, c); !chart.empty())
          out += fmt::format("<h4>{}</h4>\n{}", escaped(classes[c].name), chart);
    }
  }
  return out + "<h2>Plan</h2><pre>" + escaped(store.about("plan")) + "</pre></body></html>\n";
}

std::vector<Change> compare(const std::vector<Row>& a, const std::vector<Row>& b) {
  std::map<Key, double> before;
  for (const auto& row : a) before[row.key] = share(row);
  std::vector<Change> changes;
  for (const auto& [group, members] : grouped(b)) {
    const auto& [site, x, point, policy] = group;
    std::vector<double> differences;
    for (const auto* row : members)
      if (const auto found = before.find(row->key); found != before.end())
        differences.push_back(share(*row) - found->second);
    if (!differences.empty())
      changes.push_back({site, policy, point, bootstrap(differences), differences.size()});
  }
  return changes;
}

std::string text_of(const std::vector<Change>& changes) {
  std::string out;
  for (const auto& change : changes)
    out += fmt::format("{:12} {:24} {:18} {:>24} {:>4} seeds  {}\n", change.site, change.point, change.policy,
                       signed_percent(change.by), change.seeds,
                       change.seeds < 3      ? "too few seeds to tell"
                       : change.by.differs() ? (change.by.mean > 0 ? "better" : "worse")
                                             : "within noise");
  return out;
}

}  // namespace heronwell::experiment
