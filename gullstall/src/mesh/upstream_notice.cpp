#include "gullstall/src/mesh/upstream_notice.hpp"

#include <algorithm>
#include <cstdlib>

namespace gullstall::mesh {

namespace {

/// Highest limit in requests per second; any higher one has the same effect, namely none.
constexpr double max_request_rate = 1e9;

bool is_decimal_number(std::string_view text)
{
    bool has_digit = text.find_first_of("0123456789") != std::string_view::npos;
    bool has_other = text.find_first_not_of("0123456789.") != std::string_view::npos;
    return has_digit && !has_other && std::count(text.begin(), text.end(), '.') <= 1;
}

}  // namespace

std::optional<double> parse_request_rate(std::string_view text)
{
    if (!is_decimal_number(text)) {
        return std::nullopt;
    }
    return std::min(std::strtod(std::string(text).c_str(), nullptr), max_request_rate);
}

bool apply_limit(std::optional<named_limit> &limit, const upstream_notice &notice,
                 std::optional<time_point> requested_at, const std::string &source, time_point now)
{
    bool is_later = limit && requested_at && *requested_at > limit->last_named_at;
    if (!notice.limit_per_s) {
        bool is_lifted = is_later && notice.unreadable.empty();
        if (is_lifted) {
            limit.reset();
        }
        return is_lifted;
    }
    double per_s = *notice.limit_per_s;
    if (limit && per_s == limit->per_s) {
        limit->last_named_at = now;
        return false;
    }
    if (limit && per_s > limit->per_s && !is_later) {
        return false;
    }
    limit = named_limit{per_s, now, now, source};
    return true;
}

double limit_per_s(const mesh_wire::upstream_notice_message &it)
{
    constexpr double milli = 1000;
    return static_cast<double>(it.limit_milli) / milli;
}

bool is_notice_of(const mesh_wire::upstream_notice_message &it, const std::string &upstream,
                  std::uint64_t started_ms)
{
    return it.upstream == upstream && it.started_ms == started_ms;
}

void merge_notice(std::optional<mesh_wire::upstream_notice_message> &known,
                  const mesh_wire::upstream_notice_message &heard)
{
    if (known && heard.started_ms < known->started_ms) {
        return;
    }
    bool has_left =
        known && known->leaving && is_notice_of(*known, heard.upstream, heard.started_ms);
    known = heard;
    known->leaving |= has_left;
}

}  // namespace gullstall::mesh
