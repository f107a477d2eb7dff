#include "gullstall/src/membership/member_table.hpp"

namespace gullstall {

bool learn_member(member_table &it, const member &news)
{
    auto [entry, inserted] = it.members.try_emplace(news.instance, news);
    if (inserted) {
        return true;
    }
    if (!is_newer(news, entry->second)) {
        return false;
    }
    entry->second = news;
    return true;
}

std::vector<const member *> upstreams_of(const member_table &it, const std::string &service)
{
    std::vector<const member *> alive;
    std::vector<const member *> suspected;
    for (const auto &[instance, known] : it.members) {
        if (known.service != service) {
            continue;
        }
        if (known.state == wire::member_state::alive) {
            alive.push_back(&known);
        } else if (known.state == wire::member_state::suspect) {
            suspected.push_back(&known);
        }
    }
    return alive.empty() ? suspected : alive;
}

}  // namespace gullstall
