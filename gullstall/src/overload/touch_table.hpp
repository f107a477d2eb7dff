#ifndef GULLSTALL_OVERLOAD_TOUCH_TABLE_HPP
#define GULLSTALL_OVERLOAD_TOUCH_TABLE_HPP

#include <map>
#include <optional>
#include <string>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// Admission level of a service as reported by its replies. Each instance has a
/// level of its own; the service is judged by their average.
struct reported_level
{
    double average = 0;        ///< over replies, weighted by the time between them
    admission_level latest{};  ///< of the last reply
    time_point at{};           ///< of the last reply

    auto operator<=>(const reported_level &) const = default;
};

/// Dependencies and levels learned from replies: the probability that calls of a
/// type reach a service, and the admission level of each service. The entry node
/// uses it to refuse requests that a service further down the call chain would
/// refuse, before any work is done for them.
struct dependency_table
{
    /// Fraction of the calls of a type that reach a service: type -> service -> share.
    std::map<std::string, std::map<std::string, double>> reach_shares;
    std::map<std::string, reported_level> levels;  ///< by service
};

/// Records that a reply reported \a service to be at \a level.
void record_reported_level(dependency_table &table, const std::string &service,
                           admission_level level, time_point now);

/// Records that a call of \a type reached \a service.
void record_reached(dependency_table &table, const std::string &type, const std::string &service);

/// Records that a call of \a type completed without reaching \a service.
void record_not_reached(dependency_table &table, const std::string &type,
                        const std::string &service);

/// Properties of a request that the entry node decides by.
struct entry_request
{
    std::string type;
    priority request_priority;
    bool is_protected;
};

/// \returns a service that is expected to refuse the request, none when all are
/// expected to admit it
std::optional<std::string> find_refusing_service(const dependency_table &table,
                                                 const entry_request &request, time_point now);

/// \returns the distance of the request from the level of \a service, in classes;
/// 0 when the level is unknown or admits the request
double classes_beyond(const dependency_table &table, const std::string &service,
                      priority of_request, time_point now);

}  // namespace gullstall

#endif
