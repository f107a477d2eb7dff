#ifndef GULLSTALL_OVERLOAD_TOUCH_TABLE_HPP
#define GULLSTALL_OVERLOAD_TOUCH_TABLE_HPP

#include <map>
#include <optional>
#include <string>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// A service's admission level as its replies tell it. Each of its instances
/// has a level of its own, so that a service is judged by their average.
struct heard_level
{
    double average = 0;        ///< over replies, weighed by the time between them
    admission_level latest{};  ///< of the last reply
    time_point at{};           ///< of the last reply

    auto operator<=>(const heard_level &) const = default;
};

/// What a node has learned from replies: how likely calls of a type reach a
/// service, and the admission level of each service. With it the entry refuses
/// what a deep service would refuse, before any work is done.
struct touch_table
{
    std::map<std::string, std::map<std::string, double>> touched;  ///< type -> service -> share
    std::map<std::string, heard_level> levels;                     ///< by service
};

/// Notes that a reply told of \a service, which is at \a level.
void learn_level(touch_table &it, const std::string &service, admission_level level,
                 time_point now);

/// Notes that a call of \a type reached \a service.
void learn_touch(touch_table &it, const std::string &type, const std::string &service);

/// Notes that a call of \a type came back whole without having reached \a service.
void learn_no_touch(touch_table &it, const std::string &type, const std::string &service);

/// A request as the entry judges it.
struct entry_request
{
    std::string type;
    priority rank;
    bool is_protected;
};

/// \returns the service that would refuse the request, none when all are
/// known or thought to take it
std::optional<std::string> refusing_service(const touch_table &it, const entry_request &request,
                                            time_point now);

}  // namespace gullstall

#endif
