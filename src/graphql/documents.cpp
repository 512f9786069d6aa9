#include "graphql/documents.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <array>

namespace heronwell::graphql {
namespace {

// Memory of a parsed document, at most about: 2.5 to 20 bytes for each of text were measured, and a small
// arena.
constexpr std::size_t kNodeFactor = 20, kArena = 2048;

}  // namespace

std::shared_ptr<const Prepared> prepare(const Schema& schema, std::string_view text, const Limits& limits,
                                        const Clock& now) {
  auto made = std::make_shared<Prepared>();
  made->bytes = kArena + text.size() * kNodeFactor;
  const auto began = now();
  try {
    made->document = parse(text, limits);
    made->parsing = now() - began;
    made->errors = validate(schema, made->document, limits);
    made->validating = now() - began - made->parsing;
  } catch (const Error& error) {
    made->errors = {{"", error.what(), {error.place}}};
  }
  return made;
}

std::string sha256_hex(std::string_view text) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size());
  std::string out;
  for (const auto byte : hash) out += fmt::format("{:02x}", byte);
  return out;
}

Documents::Kept* Documents::find(const std::string& key) {
  const auto found = at_.find(key);
  if (found == at_.end()) return nullptr;
  kept_.splice(kept_.begin(), kept_, found->second);
  return &*found->second;
}

void Documents::keep(Kept kept) {
  if (kept.bytes > most_ / 8 || at_.contains(kept.key)) return;  // one alone may not drive out the others
  counts_.bytes += kept.bytes;
  kept_.push_front(std::move(kept));
  at_.emplace(kept_.front().key, kept_.begin());
  while (counts_.bytes > most_) {
    counts_.bytes -= kept_.back().bytes;
    ++counts_.dropped;
    at_.erase(kept_.back().key);
    kept_.pop_back();
  }
}

std::shared_ptr<const Prepared> Documents::get(const std::string& text, bool* fresh) {
  const auto key = "d" + text;
  {
    const std::lock_guard lock(mutex_);
    if (const auto* known = find(key)) {
      ++counts_.hits;
      return known->prepared;
    }
    ++counts_.misses;
  }
  auto made = prepare(schema_, text, limits_, now_);
  if (fresh != nullptr) *fresh = true;
  const std::lock_guard lock(mutex_);
  keep({key, "", made, made->bytes + key.size()});
  return made;
}

void Documents::persist(const std::string& sha256, const std::string& text) {
  const std::lock_guard lock(mutex_);
  if (find("h" + sha256) == nullptr)
    keep({"h" + sha256, text, nullptr, sizeof(Kept) + sha256.size() + text.size()});
}

std::optional<std::string> Documents::persisted(const std::string& sha256) {
  const std::lock_guard lock(mutex_);
  const auto* known = find("h" + sha256);
  return known == nullptr ? std::nullopt : std::optional(known->text);
}

Documents::Counts Documents::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace heronwell::graphql
