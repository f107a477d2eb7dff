#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

std::uint64_t next_id(node &n)
{
    return ++n.last_id;
}

void log(step_context &t, write_log::severity level, const char *part, std::string text)
{
    t.out.emplace_back(write_log{level, part, std::move(text)});
}

platform_ref send_platform_request(step_context &t, platform_purpose purpose, platform_request what)
{
    auto id = platform_ref{next_id(t.n)};
    t.n.pending_platform_requests[id] = purpose;
    t.out.emplace_back(request_platform{id, std::move(what)});
    return id;
}

member own_member(const node &n)
{
    return n.members.members.at(n.settings.node.instance);
}

void send_to_address(step_context &t, const std::string &instance, const endpoint &to,
                     wire::frame_message frame)
{
    frame.sender = t.n.settings.node.instance;
    frame.incarnation = t.n.incarnation;
    frame.clock = tick_clock(t.n.events, t.now);
    frame.bundle_version = version_in_force(t.n.bundles);
    t.out.emplace_back(send_frame{instance, to, std::move(frame)});
}

void send_to(step_context &t, const std::string &instance, wire::frame_message frame)
{
    auto known = t.n.members.members.find(instance);
    // A node that gossip has not announced yet is answered over the connection it opened.
    endpoint to = known == t.n.members.members.end()
                      ? endpoint{}
                      : endpoint{known->second.address, known->second.port};
    send_to_address(t, instance, to, std::move(frame));
}

}  // namespace gullstall::internal
