// What the results of an experiment say: one HTML file with tables and charts, and what changed between two
// files beyond noise. Means are over seeds; intervals are bootstrapped over seeds that both sides played.
#pragma once

#include <string>
#include <vector>

#include "experiment/statistics.hpp"
#include "experiment/store.hpp"

namespace heronwell::experiment {

// Of each site, policy and point: the share of the worth asked that was earned, over seeds.
struct Line {
  std::string site, policy, point;
  double x = 0;
  Estimate worth;
  Estimate against;  // the first policy: the difference, seed by seed
  double bound = 0;  // mean
  std::size_t seeds = 0, left = 0;
};
std::vector<Line> lines_of(const std::vector<Row>& rows, const std::vector<std::string>& policies);
std::string table_of(const std::vector<Line>& lines);  // for people

// Draws with gnuplot, which must be installed. Throws std::runtime_error if it is not, or fails.
std::string html_of(const Store& store);

struct Change {
  std::string site, policy, point;
  Estimate by;  // of the share of worth, B less A
  std::size_t seeds = 0;
};
std::vector<Change> compare(const std::vector<Row>& a, const std::vector<Row>& b);
std::string text_of(const std::vector<Change>& changes);

}  // namespace heronwell::experiment
