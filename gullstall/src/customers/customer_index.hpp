#ifndef GULLSTALL_CUSTOMERS_CUSTOMER_INDEX_HPP
#define GULLSTALL_CUSTOMERS_CUSTOMER_INDEX_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/customers/key_digest.hpp"

namespace gullstall {

/// Limit on the requests of a customer, over all nodes together.
struct request_quota
{
    double rate_per_s = 0;  ///< requests per second; 0: no limit
    double burst = 0;       ///< requests beyond the rate after a quiet time

    bool operator==(const request_quota &) const = default;
};

/// A customer whose callers send requests with one of its API keys.
struct customer
{
    std::string name;
    /// Priority of its requests, 0 is the most important; unset: that of their routes.
    std::optional<std::uint32_t> priority;
    request_quota quota;

    bool operator==(const customer &) const = default;
};

/// A customer as the operator declares it.
struct customer_declaration
{
    customer who;
    std::vector<std::string> api_keys;
};

/// The customers of one version of the policy. Holds digests of the keys, not the keys.
struct customer_index
{
    digest_secret secret;
    std::unordered_map<std::string, customer> by_name;
    std::unordered_map<key_digest, std::string, key_digest_hash> names_by_key;

    bool operator==(const customer_index &) const = default;
};

/// Creates the index.
/// \returns the index; duplicate when two customers have the same name or key;
/// out_of_range for an empty name or key
result<customer_index> make_customer_index(std::vector<customer_declaration> declared,
                                           const digest_secret &secret);

/// \returns the customer that holds \a api_key, nullptr when there is none
const customer *find_customer(const customer_index &it, std::string_view api_key);

/// \returns the customer named \a name, nullptr when there is none
const customer *find_customer_by_name(const customer_index &it, std::string_view name);

/// Credentials of a request.
struct caller_credentials
{
    enum class state
    {
        absent,
        malformed,  ///< no bearer token, or several fields
        present
    };
    state found = state::absent;
    std::string api_key;  ///< if present

    bool operator==(const caller_credentials &) const = default;
};

/// Reads the values of the Authorization fields of a request.
caller_credentials read_credentials(const std::vector<std::string_view> &fields);

}  // namespace gullstall

#endif
