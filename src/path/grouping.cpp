#include "path/grouping.hpp"

namespace heronwell::path {

Origin origin_of(const http::Parser& request, const groups::Selectors& selectors, std::string address) {
  Origin origin;
  origin.address = std::move(address);
  for (const auto& name : selectors.headers())
    if (const auto field = request.find(name)) origin.headers.emplace(name, *field);
  auto tag_list = request.find(kTagsField).value_or("");
  while (!tag_list.empty()) {
    const auto comma = tag_list.find(',');
    auto tag = tag_list.substr(0, comma);
    while (tag.starts_with(' ')) tag.remove_prefix(1);
    while (tag.ends_with(' ')) tag.remove_suffix(1);
    if (!tag.empty()) origin.tags.emplace_back(tag);
    if (comma == std::string_view::npos) break;
    tag_list.remove_prefix(comma + 1);
  }
  return origin;
}

groups::RequestAttributes described(const Origin& origin, std::string cls, std::string tenant,
                                    std::string_view statement) {
  groups::RequestAttributes description;
  description.cls = std::move(cls);
  description.tenant = std::move(tenant);
  description.operation = origin.operation;
  description.root_fields = origin.root_fields;
  description.statement = groups::first_word(statement);
  description.address = origin.address;
  description.tags = origin.tags;
  description.header = [&origin](std::string_view name) -> std::optional<std::string> {
    const auto found = origin.headers.find(name);
    return found == origin.headers.end() ? std::nullopt : std::optional(found->second);
  };
  return description;
}

}  // namespace heronwell::path
