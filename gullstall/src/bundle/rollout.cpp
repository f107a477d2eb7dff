#include "gullstall/src/bundle/rollout.hpp"

#include <boost/json.hpp>

namespace gullstall {

namespace {

result<done> check_follows(const rollout &it, const bundle_schema::head_section_values &next)
{
    std::uint64_t version = version_in_force(it);
    if (it.guards.rising && next.version <= version) {
        return error{error_code::bad_version, "bundle: version " + std::to_string(next.version) +
                                                  " is not above version " +
                                                  std::to_string(version) + " in force"};
    }
    if (!it.guards.chain) {
        return done{};
    }
    if (next.version != version + 1) {
        return error{error_code::bad_version,
                     "bundle: gap in the chain, version " + std::to_string(next.version) +
                         " does not follow version " + std::to_string(version) + " in force"};
    }
    if (next.previous != it.in_force->digest) {
        return error{error_code::bad_version, "bundle: version " + std::to_string(next.version) +
                                                  " follows " + next.previous + ", in force is " +
                                                  it.in_force->digest};
    }
    return done{};
}

}  // namespace

std::string print_head(const bundle_head &it)
{
    return boost::json::serialize(boost::json::object{{"version", it.version},
                                                      {"digest", it.digest},
                                                      {"object", it.object},
                                                      {"token", it.token},
                                                      {"author", it.author},
                                                      {"reference", it.reference}});
}

result<bundle_head> parse_head(std::string_view value)
{
    try {
        boost::json::value read = boost::json::parse(boost::json::string_view(value));
        auto text = [&](const char *name) { return std::string(read.at(name).as_string()); };
        return bundle_head{read.at("version").to_number<std::uint64_t>(),
                           text("digest"),
                           text("object"),
                           text("token"),
                           text("author"),
                           text("reference")};
    } catch (const std::exception &e) {
        return error{error_code::bad_syntax, std::string("bundle head row: ") + e.what()};
    }
}

bundle_head head_of(const bundle &content, const std::string &stored, const std::string &text,
                    const std::string &token)
{
    return bundle_head{content.head.version, digest_of(text),       digest_of(stored), token,
                       content.head.author,  content.head.reference};
}

std::string bundle_object_name(const std::string &digest)
{
    return "bundle/" + digest;
}

std::string bundle_version_key(std::uint64_t version)
{
    return "bundle/version/" + std::to_string(version);
}

result<done> apply_bundle(rollout &it, const std::string &stored,
                          const std::vector<trusted_key> &trusted, time_point now,
                          std::uint32_t first_signers)
{
    std::uint32_t signers =
        it.in_force ? it.in_force->content.head.signers_required : first_signers;
    result<verified_bundle> verified = verify_bundle(stored, trusted, signers);
    if (!succeeded(verified)) {
        return error_of(verified);
    }
    if (it.in_force) {
        result<done> follows = check_follows(it, value_of(verified).content.head);
        if (!succeeded(follows)) {
            return follows;
        }
    }
    it.in_force = value_of(std::move(verified));
    it.stored = stored;
    it.since = now;
    it.held[version_in_force(it)] = held_bundle{stored, it.in_force->content};
    while (it.held.size() > max_held_versions) {
        it.held.erase(it.held.begin());
    }
    return done{};
}

std::uint64_t version_in_force(const rollout &it)
{
    return it.in_force ? it.in_force->content.head.version : 0;
}

const bundle &content_of(const rollout &it, std::uint64_t version)
{
    auto held = it.held.find(version);
    return held == it.held.end() || !it.guards.pin_requests ? it.in_force->content
                                                            : held->second.content;
}

}  // namespace gullstall
