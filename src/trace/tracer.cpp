#include "trace/tracer.hpp"

namespace heronwell::trace {

TrailPtr Tracer::begin(std::string_view traceparent, std::uint64_t random_high,
                       std::uint64_t random_low) const {
  if (!on()) return nullptr;
  auto context = read_traceparent(traceparent);
  if (!context) {
    context.emplace();
    context->trace = {random_high, random_low | 1};
    context->sampled = head_samples(context->trace, options_.sample);
  }
  if (!context->sampled && !options_.keep_trouble) return nullptr;
  auto trail = std::make_shared<Trail>(*context, random_high ^ (random_low << 1));
  constexpr std::size_t kUsualSpans = 8;  // a request with one attempt needs no more
  trail->spans.reserve(kUsualSpans);
  return trail;
}

void Tracer::finish(const TrailPtr& trail) const {
  if (trail->context.sampled || (trail->trouble && options_.keep_trouble)) sink_(trail);
}

}  // namespace heronwell::trace
