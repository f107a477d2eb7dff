#include "gullstall/src/timeline/view.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <map>

namespace gullstall {

namespace json = boost::json;

namespace {

constexpr std::size_t column_width = 34;

std::string text_at(const json::object &it, const char *key)
{
    const json::value *found = it.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

bool is_wanted(const std::string &wanted, const std::string &found)
{
    return wanted.empty() || wanted == found;
}

/// Values of a detail such as `reason=overload class=status`.
std::map<std::string, std::string> read_pairs(const std::string &detail)
{
    std::map<std::string, std::string> out;
    std::vector<std::string> words;
    boost::algorithm::split(words, detail, boost::algorithm::is_any_of(" "));
    for (const std::string &it : words) {
        std::size_t equals = it.find('=');
        if (equals != std::string::npos) {
            out[it.substr(0, equals)] = it.substr(equals + 1);
        }
    }
    return out;
}

/// \returns whether the event is about the bundle \a version
bool is_about_bundle(const fleet_event &it, const std::string &version)
{
    if (version.empty()) {
        return true;
    }
    bool of_bundle = it.kind == "bundle_applied" && it.subject == version;
    return of_bundle || read_pairs(it.detail)["bundle"] == version;
}

std::string print_ms(std::uint64_t us)
{
    constexpr std::size_t digits = 32;
    constexpr double us_per_ms = 1000;
    std::array<char, digits> text{};
    std::snprintf(text.data(), text.size(), "%10.3f", static_cast<double>(us) / us_per_ms);
    return text.data();
}

std::string fill(std::string text, std::size_t width)
{
    if (text.size() >= width) {
        text.resize(width - 1);
    }
    return text + std::string(width - text.size(), ' ');
}

std::string label_of(const fleet_event &it)
{
    std::string out = it.kind;
    if (!it.subject.empty() && it.subject != it.instance) {
        out += (it.kind == "call_sent" ? " -> " : " ") + it.subject;
    }
    auto reason = read_pairs(it.detail)["reason"];
    return reason.empty() ? out : out + " " + reason;
}

std::string trim_right(std::string text)
{
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

}  // namespace

result<std::vector<fleet_event>> parse_events(std::string_view page)
{
    std::vector<fleet_event> out;
    std::vector<std::string> lines;
    boost::algorithm::split(lines, page, boost::algorithm::is_any_of("\n"));
    for (const std::string &line : lines) {
        if (line.empty()) {
            continue;
        }
        boost::system::error_code ec;
        json::value read = json::parse(line, ec);
        const json::object *it = ec ? nullptr : read.if_object();
        const json::value *clock = it == nullptr ? nullptr : it->if_contains("clock");
        if (clock == nullptr || !clock->is_number()) {
            return error{error_code::bad_syntax, "time line: found '" + line + "', not an event"};
        }
        out.push_back(fleet_event{clock->to_number<std::uint64_t>(), text_at(*it, "instance"),
                                  text_at(*it, "zone"), text_at(*it, "kind"),
                                  text_at(*it, "request"), text_at(*it, "subject"),
                                  text_at(*it, "detail")});
    }
    return out;
}

void order_events(std::vector<fleet_event> &events)
{
    std::stable_sort(events.begin(), events.end(),
                     [](const fleet_event &a, const fleet_event &b) { return a.clock < b.clock; });
}

std::vector<fleet_event> select_events(const std::vector<fleet_event> &events,
                                       const event_filter &filter)
{
    std::vector<fleet_event> out;
    std::copy_if(events.begin(), events.end(), std::back_inserter(out), [&](const fleet_event &it) {
        return is_wanted(filter.request, it.request) && is_wanted(filter.instance, it.instance) &&
               is_wanted(filter.zone, it.zone) && is_about_bundle(it, filter.bundle);
    });
    return out;
}

std::string print_events(const std::vector<fleet_event> &events)
{
    std::string out;
    for (const fleet_event &it : events) {
        json::object line{{"clock", it.clock},  {"instance", it.instance}, {"zone", it.zone},
                          {"kind", it.kind},    {"request", it.request},   {"subject", it.subject},
                          {"detail", it.detail}};
        out += json::serialize(line) + "\n";
    }
    return out;
}

std::string draw_events(const std::vector<fleet_event> &events)
{
    if (events.empty()) {
        return "no events\n";
    }
    std::vector<std::string> columns;
    for (const fleet_event &it : events) {
        if (std::find(columns.begin(), columns.end(), it.instance) == columns.end()) {
            columns.push_back(it.instance);
        }
    }
    std::string head = "        ms  ";
    for (const std::string &it : columns) {
        head += fill(it, column_width);
    }
    std::string out = trim_right(head) + "\n";
    for (const fleet_event &it : events) {
        auto column = std::find(columns.begin(), columns.end(), it.instance) - columns.begin();
        out += print_ms(it.clock - events.front().clock) + "  " +
               std::string(static_cast<std::size_t>(column) * column_width, ' ') + label_of(it) +
               "\n";
    }
    return out;
}

std::string explain_refusals(const std::vector<fleet_event> &events, const std::string &request)
{
    std::string out;
    for (const fleet_event &it : events) {
        if (it.kind != "call_refused" || it.request != request) {
            continue;
        }
        auto pairs = read_pairs(it.detail);
        auto text = [&](const char *key) {
            return pairs.count(key) > 0 ? pairs[key] : std::string("-");
        };
        std::string by = it.subject.empty() ? "no service" : it.subject;
        std::string level = text("admitted_level");
        out += request + ": " + text("outcome") + ", reason " + text("reason") + ", refused by ";
        out += by + "\n  call " + text("service") + "/" + text("operation") + " at ";
        out += it.instance + " in " + it.zone + "\n  class " + text("class") + ", priority ";
        out += text("priority") + ", rank " + text("rank") + ", level of the request ";
        out += text("request_level") + ", level admitted by " + by + " ";
        out += level;
        out += "\n  bundle version " + text("bundle") + ", upstreams tried " + text("tried") + "\n";
    }
    return out;
}

std::string print_member_table(const std::string &page)
{
    constexpr std::size_t wide = 22;
    constexpr std::size_t narrow = 14;
    boost::system::error_code ec;
    json::value read = json::parse(page, ec);
    if (ec || !read.is_array()) {
        return page;
    }
    std::string out = fill("INSTANCE", wide) + fill("SERVICE", narrow) + fill("ZONE", narrow) +
                      fill("STATE", narrow) + "ADDRESS\n";
    for (const json::value &value : read.as_array()) {
        const json::object &it = value.as_object();
        out += fill(text_at(it, "instance"), wide) + fill(text_at(it, "service"), narrow);
        out += fill(text_at(it, "zone"), narrow) + fill(text_at(it, "state"), narrow);
        out += text_at(it, "address") + ":" + json::serialize(it.at("port")) + "\n";
    }
    return out;
}

}  // namespace gullstall
