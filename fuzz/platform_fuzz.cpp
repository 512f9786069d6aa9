// The platform's protocols; the first byte says which. Frames: the same however they are split, and never
// more used than there is. Calls: a page served is sound. The bus: what is refused changes nothing. Groups of
// tables: any text.
#include <cstdint>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <string_view>

#include "bus/endpoint_event_reader.hpp"
#include "calls/calls.hpp"
#include "frames/frames.hpp"
#include "sql/group.hpp"

namespace {

using namespace heronwell;

void frames_of(std::string_view in) {
  using What = frames::DecodeResult::Status;
  const auto whole = frames::decode(in);
  if (whole.consumed_bytes > in.size() || (whole.status == What::frame) != (whole.consumed_bytes > 0))
    std::abort();
  for (std::size_t cut = 0; cut < in.size(); ++cut) {
    const auto part = frames::decode(in.substr(0, cut));
    if (part.status == What::error && whole.status != What::error) std::abort();
    if (part.status == What::frame && part.consumed_bytes != whole.consumed_bytes) std::abort();
  }
  frames::Request request;
  if (whole.status != What::frame || whole.frame.type != frames::FrameType::request) return;
  if (!frames::read_request(whole.frame, request) && (request.id.size() != 16 || request.timeout_ms == 0))
    std::abort();
}

void calls_of(std::string_view in) {
  http::Parser parser(http::Role::response);
  std::string body;
  while (true) {
    const auto step = parser.next(in);
    body += step.body;
    in.remove_prefix(step.consumed);
    if (step.event == http::Parser::Event::error || step.event == http::Parser::Event::need_more) return;
    if (step.event != http::Parser::Event::end) continue;
    const auto news = calls::read_status(parser, body);
    if (news.state == calls::QueryStatus::State::complete &&
        (news.page_count == 0 || !calls::rows_well_formed(body)))
      std::abort();
    for (const auto figure : calls::read_load_report(parser, {LoadField::in_flight, LoadField::utilization}))
      if (!(figure >= 0)) std::abort();
    body.clear();
  }
}

void bus_of(std::string_view in) {
  bus::EndpointEventReader events;
  try {
    (void)events.apply(in);
  } catch (const std::invalid_argument& error) {
    if (std::string(error.what()).empty() || events.offset() != 0 || !events.entries().empty()) std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 4) {
    case 0:
      frames_of(bytes);
      break;
    case 1:
      calls_of(bytes);
      break;
    case 2:
      bus_of(bytes);
      break;
    default:
      (void)sql::find_data_group(bytes);
  }
  return 0;
}
