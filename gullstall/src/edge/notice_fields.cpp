#include "gullstall/src/edge/notice_fields.hpp"

#include <algorithm>

namespace gullstall::edge {

namespace {

/// Part of an unreadable value that is logged.
constexpr std::size_t max_logged_value = 40;

std::string print_field(const std::string &name, std::string_view value)
{
    return name + ": " + std::string(value.substr(0, max_logged_value));
}

}  // namespace

mesh::upstream_notice read_notice(const boost::beast::http::fields &fields,
                                  const header_names &names)
{
    mesh::upstream_notice out;
    auto limits = fields.equal_range(names.request_limit);
    for (auto it = limits.first; it != limits.second; ++it) {
        std::string_view text(it->value().data(), it->value().size());
        std::optional<double> limit = mesh::parse_request_rate(text);
        if (!limit) {
            out.unreadable = print_field(names.request_limit, text);
            continue;
        }
        out.limit_per_s = std::min(*limit, out.limit_per_s.value_or(*limit));
    }
    auto leaving = fields.equal_range(names.leaving);
    for (auto it = leaving.first; it != leaving.second; ++it) {
        std::string_view text(it->value().data(), it->value().size());
        if (text == "1") {
            out.is_leaving = true;
        } else if (text != "0") {
            out.unreadable = print_field(names.leaving, text);
        }
    }
    return out;
}

}  // namespace gullstall::edge
