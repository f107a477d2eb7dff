#ifndef GULLSTALL_TIMELINE_VIEW_HPP
#define GULLSTALL_TIMELINE_VIEW_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gullstall/src/core/result.hpp"

/// The time line over all nodes: merged, filtered, drawn and explained.
namespace gullstall {

/// One event of one node, as its admin port prints it.
struct fleet_event
{
    std::uint64_t clock = 0;  ///< hybrid logical clock, microseconds
    std::string instance;
    std::string zone;
    std::string kind;
    std::string request;
    std::string subject;
    std::string detail;

    bool operator==(const fleet_event &) const = default;
};

/// Which events are wanted; an empty field wants all.
struct event_filter
{
    std::string request;
    std::string bundle;  ///< version
    std::string instance;
    std::string zone;

    bool operator==(const event_filter &) const = default;
};

/// Reads a node's page of events, a JSON object a line.
/// \returns the events, or bad_syntax with the line
result<std::vector<fleet_event>> parse_events(std::string_view page);

/// Puts the events in the order of their clocks, cause before effect.
void order_events(std::vector<fleet_event> &events);

/// \returns the events that \a filter wants
std::vector<fleet_event> select_events(const std::vector<fleet_event> &events,
                                       const event_filter &filter);

/// \returns the events as JSON lines
std::string print_events(const std::vector<fleet_event> &events);

/// \returns the events of one request as a text diagram: a column for each
/// instance, a row for each event, milliseconds from the first one in front
std::string draw_events(const std::vector<fleet_event> &events);

/// \returns why \a request was refused, a sentence for each refusal; empty when
/// no event says so
std::string explain_refusals(const std::vector<fleet_event> &events, const std::string &request);

/// \returns the page of members, JSON, as a table; the page itself when it is
/// no list of members
std::string print_member_table(const std::string &page);

}  // namespace gullstall

#endif
