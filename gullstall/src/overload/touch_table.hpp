#ifndef GULLSTALL_OVERLOAD_TOUCH_TABLE_HPP
#define GULLSTALL_OVERLOAD_TOUCH_TABLE_HPP

#include <map>
#include <optional>
#include <string>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// What a node has learned from replies: the services that calls of a type
/// reach, and the admission level of each service. With it the entry refuses
/// what a deep service would refuse, before any work is done.
struct touch_table
{
    struct heard_level
    {
        admission_level level;
        time_point at;
    };

    std::map<std::string, std::map<std::string, time_point>> touched;  // type -> service -> last
    std::map<std::string, heard_level> levels;                         // by service
};

/// Notes that a call of \a type reached \a service, which is at \a level.
void learn_touch(touch_table &it, const std::string &type, const std::string &service,
                 admission_level level, time_point now);

/// \returns the service that would refuse a request of \a of_request and
/// \a type, none when all are known or thought to take it
std::optional<std::string> refusing_service(const touch_table &it, const std::string &type,
                                            priority of_request, time_point now);

}  // namespace gullstall

#endif
