#include "trace/tracer.hpp"

namespace heronwell::trace {

TrailPtr Tracer::begin(std::string_view traceparent, std::uint64_t high, std::uint64_t low) const {
  if (!on()) return nullptr;
  auto context = read_traceparent(traceparent);
  if (!context) {
    context.emplace();
    context->trace = {high, low | 1};
    context->sampled = head_keeps(context->trace, options_.sample);
  }
  if (!context->sampled && !options_.keep_trouble) return nullptr;
  auto trail = std::make_shared<Trail>(*context, high ^ (low << 1));
  trail->spans.reserve(8);
  return trail;
}

void Tracer::finish(const TrailPtr& trail) const {
  if (trail->context.sampled || (trail->trouble && options_.keep_trouble)) sink_(trail);
}

}  // namespace heronwell::trace
