// PagedResult assembles the rows of a query's result from its pages, in order.
//
// The first page arrives with the status response that reports the query complete; that response also gives
// the number of pages. Each further page is requested by its number. An engine returns the same page again if
// it is asked again, so a page that turns out to be unreliable can be removed and requested once more.
//
// The result is complete once its last page has been received twice with the same rows. A page whose length is
// too small may end behind a row, and is then well-formed. What follows such a page is found while the next page
// is read, but nothing is read after the last one.
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
  [[nodiscard]] bool has_all_pages() const { return has_first_page() && pages_read_ == page_count_; }
  [[nodiscard]] bool complete() const { return confirmed_; }
  [[nodiscard]] unsigned page_count() const { return page_count_; }
  // The number of the page to request next, from 0: the first page that is missing, or the last page again if
  // none is missing. Valid if there is a first page.
  [[nodiscard]] unsigned next_page() const { return has_all_pages() ? page_count_ - 1 : pages_read_; }

  // Starts the result with its first page. `page_count` includes this page and is at least 1.
  void begin(unsigned page_count, std::string first_page) {
    page_count_ = page_count;
    pages_read_ = 1;
    last_page_offset_ = 0;
    rows_ = std::move(first_page);
  }
  // Appends page next_page(), which was missing. Returns false and changes nothing if the result would exceed
  // kMaxResultBytes.
  [[nodiscard]] bool append(std::string_view page) {
    if (rows_.size() + page.size() > kMaxResultBytes) return false;
    last_page_offset_ = rows_.size();
    rows_ += page;
    ++pages_read_;
    return true;
  }
  // Compares the last page with a second copy of it, and the number of pages with the one that came with the
  // copy. If they are equal, the result is complete. Otherwise all pages are removed, because either copy may be
  // the wrong one, and false is returned. Valid if no page is missing.
  [[nodiscard]] bool confirm(unsigned page_count, std::string_view last_page) {
    confirmed_ = page_count == page_count_ && std::string_view(rows_).substr(last_page_offset_) == last_page;
    if (!confirmed_) *this = PagedResult();
    return confirmed_;
  }
  // Removes the page that was added last. It must be called at most once after each added page.
  void drop_last_page() {
    rows_.resize(last_page_offset_);
    if (--pages_read_ == 0) page_count_ = 0;
  }
  [[nodiscard]] std::size_t buffered_bytes() const { return rows_.capacity(); }
  // Moves the rows out. The object must not be used afterwards.
  [[nodiscard]] std::string take_rows() { return std::move(rows_); }

 private:
  unsigned page_count_ = 0, pages_read_ = 0;
  std::size_t last_page_offset_ = 0;  // where the page that was added last begins in rows_
  bool confirmed_ = false;
  std::string rows_;
};

}  // namespace heronwell::calls
