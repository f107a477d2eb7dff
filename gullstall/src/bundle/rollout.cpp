#include "gullstall/src/bundle/rollout.hpp"

#include <sstream>

namespace gullstall {

std::string print_head(const bundle_head &it)
{
    return std::to_string(it.version) + " " + it.digest + " " + it.token;
}

result<bundle_head> parse_head(std::string_view value)
{
    std::istringstream in{std::string(value)};
    bundle_head out{};
    if (!(in >> out.version >> out.digest >> out.token)) {
        return error{error_code::bad_syntax, "head row: expected version, digest and token"};
    }
    return out;
}

std::string bundle_object_name(const std::string &digest)
{
    return "bundle/" + digest;
}

result<done> apply_bundle(rollout &it, const std::string &stored,
                          const std::vector<trusted_key> &trusted, time_point now)
{
    std::uint32_t signers =
        it.in_force ? it.in_force->content.head.signers_required : std::uint32_t{1};
    result<verified_bundle> verified = verify_bundle(stored, trusted, signers);
    if (!succeeded(verified)) {
        return error_of(verified);
    }
    std::uint64_t version = value_of(verified).content.head.version;
    if (version <= version_in_force(it)) {
        return error{error_code::bad_version,
                     "bundle: version " + std::to_string(version) + " is not above version " +
                         std::to_string(version_in_force(it)) + " in force"};
    }
    it.in_force = value_of(std::move(verified));
    it.stored = stored;
    it.since = now;
    return done{};
}

std::uint64_t version_in_force(const rollout &it)
{
    return it.in_force ? it.in_force->content.head.version : 0;
}

}  // namespace gullstall
