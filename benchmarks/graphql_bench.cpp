// This benchmark measures the parsing and validation of small, usual and hostile GraphQL documents: time,
// throughput, and allocated memory per byte of the document.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>
#include <string>

#include "graphql/document.hpp"
#include "graphql/validate.hpp"
#include "release.hpp"

namespace {
std::size_t allocated_bytes = 0;  // sum over all allocations
}  // namespace

void* operator new(std::size_t size) {
  allocated_bytes += size;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

using namespace heronwell::graphql;

const std::string kSmall = "query($g:ID!){route(gate:$g,to:\"B12\"){steps{text metres}}}";

std::string usual() {
  std::string text = "query Floor($floor: ID!, $lang: String = \"en\") {\n";
  for (int i = 0; i < 40; ++i)
    text += "  area" + std::to_string(i) + ": area(floor: $floor, number: " + std::to_string(i) +
            ", filter: {open: true, kinds: [SHOP, GATE]}) {\n    name(lang: $lang)\n    ...Place\n    "
            "children @include(if: true) { id }\n  }\n";
  return text + "}\nfragment Place on Area {\n  id\n  position { x y level }\n}\n";
}
std::string hostile() {  // very many aliases
  std::string text = "{";
  for (int i = 0; i < 900; ++i) text += "a" + std::to_string(i) + ":b(c:[[[1]]]) ";
  return text + "}";
}

void run(benchmark::State& state, const std::string& text) {
  const auto allocated_before = allocated_bytes;
  for (auto _ : state) benchmark::DoNotOptimize(parse(text).definitions.size());
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
  state.counters["memory/byte"] = static_cast<double>(allocated_bytes - allocated_before) /
                                  static_cast<double>(state.iterations()) / static_cast<double>(text.size());
}

BENCHMARK_CAPTURE(run, small, kSmall);
BENCHMARK_CAPTURE(run, usual, usual());
BENCHMARK_CAPTURE(run, hostile, hostile());
BENCHMARK_CAPTURE(run, hostile_ten_times_smaller, hostile().substr(0, hostile().find("a90:")) + "}");
void too_deep(benchmark::State& state) {
  const std::string text(200 << 10, '{');
  for (auto _ : state) {
    try {
      benchmark::DoNotOptimize(parse(text).definitions.size());
    } catch (const Error&) {  // NOLINT(bugprone-empty-catch): the benchmark measures the time to the error
    }
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}
BENCHMARK(too_deep);

// Measures the validation of a parsed document, without parsing.
void validated(benchmark::State& state, const std::string& text) {
  static const Schema schema(
      "enum Kind{SHOP GATE} input Filter{open:Boolean kinds:[Kind]} type Spot{x:Int y:Int level:Int} type "
      "Step{text:String "
      "metres:Int} type Route{steps:[Step]} type Area{id:ID name(lang:String):String position:Spot "
      "children:[Area]} type "
      "Query{area(floor:ID!number:Int filter:Filter):Area route(gate:ID! to:String):Route "
      "b(c:[[[Int]]]):Int}");
  const auto document = parse(text);
  for (auto _ : state) benchmark::DoNotOptimize(validate(schema, document).size());
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}
BENCHMARK_CAPTURE(validated, small, kSmall);
BENCHMARK_CAPTURE(validated, usual, usual());
BENCHMARK_CAPTURE(validated, hostile, hostile());

}  // namespace

BENCHMARK_MAIN();
