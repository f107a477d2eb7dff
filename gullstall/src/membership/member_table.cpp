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
    std::vector<const member *> out;
    for (const auto &[instance, known] : it.members) {
        bool takes_work =
            known.state == wire::member_state::alive || known.state == wire::member_state::suspect;
        if (known.service == service && takes_work) {
            out.push_back(&known);
        }
    }
    return out;
}

}  // namespace gullstall
