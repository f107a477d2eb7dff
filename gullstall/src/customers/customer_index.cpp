#include "gullstall/src/customers/customer_index.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace gullstall {

namespace {

/// Longest API key that is looked up, in bytes.
constexpr std::size_t max_key_size = 512;

error in_customer(const std::string &name, error_code code, const std::string &what)
{
    return error{code, "customer '" + name + "': " + what};
}

}  // namespace

result<customer_index> make_customer_index(std::vector<customer_declaration> declared,
                                           const digest_secret &secret)
{
    customer_index out;
    out.secret = secret;
    for (customer_declaration &it : declared) {
        std::string name = it.who.name;
        if (name.empty()) {
            return in_customer(name, error_code::out_of_range, "the name is empty");
        }
        for (const std::string &key : it.api_keys) {
            if (key.empty() || key.size() > max_key_size) {
                return in_customer(
                    name, error_code::out_of_range,
                    "a key is empty or longer than " + std::to_string(max_key_size) + " bytes");
            }
            auto [known, is_new] = out.names_by_key.emplace(digest_of(secret, key), name);
            if (!is_new && known->second != name) {
                return in_customer(name, error_code::duplicate,
                                   "customer '" + known->second + "' has one of its keys");
            }
        }
        if (!out.by_name.emplace(name, std::move(it.who)).second) {
            return in_customer(name, error_code::duplicate, "declared twice");
        }
    }
    return out;
}

const customer *find_customer(const customer_index &it, std::string_view api_key)
{
    if (api_key.empty() || api_key.size() > max_key_size) {
        return nullptr;
    }
    auto found = it.names_by_key.find(digest_of(it.secret, api_key));
    return found == it.names_by_key.end() ? nullptr : find_customer_by_name(it, found->second);
}

const customer *find_customer_by_name(const customer_index &it, std::string_view name)
{
    auto found = it.by_name.find(std::string(name));
    return found == it.by_name.end() ? nullptr : &found->second;
}

caller_credentials read_credentials(const std::vector<std::string_view> &fields)
{
    using state = caller_credentials::state;
    if (fields.empty()) {
        return {};
    }
    constexpr std::string_view scheme = "Bearer ";
    std::string_view value = fields.front();
    if (fields.size() > 1 || !boost::istarts_with(value, scheme)) {
        return {state::malformed, {}};
    }
    value.remove_prefix(scheme.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    if (value.empty() || value.size() > max_key_size ||
        value.find_first_of(" \t,") != std::string_view::npos) {
        return {state::malformed, {}};
    }
    return {state::present, std::string(value)};
}

}  // namespace gullstall
