#include "gullstall/src/quota/quota_keepers.hpp"

#include <algorithm>

#include "gullstall/src/core/hash.hpp"

namespace gullstall {

std::string choose_quota_keeper(const std::vector<std::string> &zone, std::string_view customer)
{
    std::uint64_t highest = 0;
    const std::string *out = nullptr;
    for (const std::string &node : zone) {
        std::uint64_t rank = hash_text(std::string(customer) + '/' + node);
        if (out == nullptr || rank > highest) {
            highest = rank;
            out = &node;
        }
    }
    return out == nullptr ? std::string() : *out;
}

double quota_share(const quota_members &it)
{
    auto reachable = static_cast<double>(it.zone.size());
    return std::min(1.0, reachable / static_cast<double>(std::max<std::size_t>(1, it.known)));
}

}  // namespace gullstall
