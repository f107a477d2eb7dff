#ifndef GULLSTALL_MESH_UPSTREAM_NOTICE_HPP
#define GULLSTALL_MESH_UPSTREAM_NOTICE_HPP

#include <optional>
#include <string>
#include <string_view>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_generated.h"

namespace gullstall::mesh {

/// What an upstream says of itself in the header of a response.
struct upstream_notice
{
    /// Requests per second that it takes from all nodes together.
    std::optional<double> limit_per_s;
    bool is_leaving = false;  ///< it is shutting down and takes no new requests
    std::string unreadable;   ///< a field that can't be read, as "name: value"; empty if none

    bool operator==(const upstream_notice &) const = default;
};

/// Limit on the requests per second, as named by an upstream.
struct named_limit
{
    double per_s = 0;
    time_point first_named_at{};  ///< with this value
    time_point last_named_at{};
    std::string source;  ///< request whose response named it first, or the peer that told of it

    bool operator==(const named_limit &) const = default;
};

/// \param text non-negative decimal number, without sign and exponent
/// \returns the rate per second, cut to a highest value; none if the text is anything else
std::optional<double> parse_request_rate(std::string_view text);

/// Applies the limit of a response.
/// \param notice of a complete header
/// \param requested_at when the request of the response was sent; none if that is not known.
/// Only a request sent after the limit was last named can raise or lift it: an older one may
/// have been answered before.
/// \returns whether the limit has changed
bool apply_limit(std::optional<named_limit> &limit, const upstream_notice &notice,
                 std::optional<time_point> requested_at, const std::string &source, time_point now);

/// \returns the requests per second of a limited upstream
double limit_per_s(const mesh_wire::upstream_notice_message &it);

/// \returns whether the notice is of the given incarnation
bool is_notice_of(const mesh_wire::upstream_notice_message &it, const std::string &upstream,
                  std::uint64_t started_ms);

/// Updates what is remembered of an upstream. Notices of earlier incarnations are ignored; an
/// announced leave is final for an incarnation.
void merge_notice(std::optional<mesh_wire::upstream_notice_message> &known,
                  const mesh_wire::upstream_notice_message &heard);

}  // namespace gullstall::mesh

#endif
