#include <string>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// \returns " key=value"
template <class Value>
std::string format_field(const char *key, const Value &value)
{
    if constexpr (std::is_convertible_v<Value, std::string>) {
        return std::string(" ") + key + "=" + std::string(value);
    } else {
        return std::string(" ") + key + "=" + std::to_string(value);
    }
}

std::string class_name_of(const node &n, const std::string &type)
{
    std::size_t slash = type.find('/');
    if (!n.bundles.in_force || slash == std::string::npos) {
        return "-";
    }
    call_policy rule =
        policy_for(n.bundles.in_force->content, type.substr(0, slash), type.substr(slash + 1));
    return rule.class_name.empty() ? "-" : rule.class_name;
}

}  // namespace

std::string describe_refusal(const node &n, const pending_call &call,
                             const wire::reply_message &reply)
{
    const wire::call_message &it = call.request;
    std::string out =
        std::string("reason=") + wire::EnumNamerefusal(reply.refusal) +
        format_field("outcome", wire::EnumNameoutcome(reply.outcome)) +
        format_field("service", it.service) + format_field("operation", it.operation) +
        format_field("class", class_name_of(n, it.call_type)) +
        format_field("priority", it.class_priority) + format_field("rank", it.rank) +
        format_field("request_level", make_priority(it.class_priority, it.rank).value) +
        format_field("bundle", it.bundle_version) + format_field("tried", call.tried.size());
    auto heard = n.touched_services.levels.find(reply.refused_by);
    if (heard != n.touched_services.levels.end()) {
        out += format_field("admitted_level", static_cast<std::uint64_t>(heard->second.average));
    }
    return out;
}

std::string describe_arrival_refusal(const node &n, const call_request &asked, wire::refusal why)
{
    return std::string("reason=") + wire::EnumNamerefusal(why) +
           format_field("service", asked.service) + format_field("operation", asked.operation) +
           format_field("bundle", version_in_force(n.bundles));
}

}  // namespace gullstall::internal
