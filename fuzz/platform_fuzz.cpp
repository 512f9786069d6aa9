// This target tests the protocols of the platform; the first byte of the input selects the protocol: frames
// (a truncated frame gives no other result than the complete one, and no byte past the end is consumed),
// query calls (a completed page is well formed), the event bus (a rejected event changes nothing), and data
// groups of tables (any text is accepted).
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

// The front of an incomplete frame must agree with the complete frame.
void check_front(std::string_view front, const frames::DecodeResult& complete) {
  const auto incomplete = frames::decode_incomplete(front);
  if (!incomplete || complete.status != frames::DecodeResult::Status::frame) return;
  if (incomplete->frame_bytes != complete.consumed_bytes || incomplete->frame.type != complete.frame.type ||
      incomplete->frame.stream != complete.frame.stream)
    std::abort();
  if (!incomplete->fields_complete) return;
  if (incomplete->frame.fields.size() != complete.frame.fields.size() ||
      !complete.frame.body.starts_with(incomplete->frame.body))
    std::abort();
}

void check_frames(std::string_view in) {
  using Status = frames::DecodeResult::Status;
  const auto complete = frames::decode(in);
  if (complete.consumed_bytes > in.size() ||
      (complete.status == Status::frame) != (complete.consumed_bytes > 0))
    std::abort();
  for (std::size_t cut = 0; cut < in.size(); ++cut) {
    const auto truncated = frames::decode(in.substr(0, cut));
    if (truncated.status == Status::error && complete.status != Status::error) std::abort();
    if (truncated.status == Status::frame && truncated.consumed_bytes != complete.consumed_bytes)
      std::abort();
    if (truncated.status == Status::need_more) check_front(in.substr(0, cut), complete);
  }
  frames::Request request;
  if (complete.status != Status::frame || complete.frame.type != frames::FrameType::request) return;
  if (!frames::read_request(complete.frame, request) && (request.id.size() != 16 || request.timeout_ms == 0))
    std::abort();
}

void check_calls(std::string_view in) {
  http::Parser parser(http::Role::response);
  std::string body;
  while (true) {
    const auto step = parser.next(in);
    body += step.body;
    in.remove_prefix(step.consumed);
    if (step.event == http::Parser::Event::error || step.event == http::Parser::Event::need_more) return;
    if (step.event != http::Parser::Event::end) continue;
    const auto query_status = calls::read_status(parser, body);
    if (query_status.state == calls::QueryStatus::State::complete &&
        (query_status.page_count == 0 || !calls::rows_well_formed(body)))
      std::abort();
    for (const auto load_value :
         calls::read_load_report(parser, {LoadField::in_flight, LoadField::utilization}))
      if (!(load_value >= 0)) std::abort();
    body.clear();
  }
}

void check_bus_events(std::string_view in) {
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
      check_frames(bytes);
      break;
    case 1:
      check_calls(bytes);
      break;
    case 2:
      check_bus_events(bytes);
      break;
    default:
      (void)sql::find_data_group(bytes);
  }
  return 0;
}
