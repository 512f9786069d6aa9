// PagedResult assembles the rows of a query's result from its pages, in order.
//
// The first page arrives with the status response that reports the query complete; that response also gives
// the number of pages. Each further page is requested by its number. An engine returns the same page again if
// it is asked again, so a page that turns out to be unreliable can be removed and requested once more.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "calls/calls.hpp"

namespace heronwell::calls {

class PagedResult {
 public:
  // Whether the first page has arrived, and with it the number of pages.
  [[nodiscard]] bool has_first_page() const { return page_count_ > 0; }
  [[nodiscard]] bool complete() const { return has_first_page() && next_page_ == page_count_; }
  // The number of the page to request next, from 1. Valid if there is a first page and the result is not
  // complete.
  [[nodiscard]] unsigned next_page() const { return next_page_; }

  // Starts the result with its first page. `page_count` includes this page and is at least 1.
  void begin(unsigned page_count, std::string first_page) {
    page_count_ = page_count;
    next_page_ = 1;
    last_page_offset_ = 0;
    rows_ = std::move(first_page);
  }
  // Appends page next_page(). Returns false and changes nothing if the result would exceed kMaxResultBytes.
  [[nodiscard]] bool append(std::string_view page) {
    if (rows_.size() + page.size() > kMaxResultBytes) return false;
    last_page_offset_ = rows_.size();
    rows_ += page;
    ++next_page_;
    return true;
  }
  // Removes the page that was added last. It must be called at most once after each added page.
  void drop_last_page() {
    rows_.resize(last_page_offset_);
    if (--next_page_ == 0) page_count_ = 0;
  }
  [[nodiscard]] std::size_t buffered_bytes() const { return rows_.capacity(); }
  // Moves the rows out. The object must not be used afterwards.
  [[nodiscard]] std::string take_rows() { return std::move(rows_); }

 private:
  unsigned page_count_ = 0, next_page_ = 0;
  std::size_t last_page_offset_ = 0;  // where the page that was added last begins in rows_
  std::string rows_;
};

}  // namespace heronwell::calls
