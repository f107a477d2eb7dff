#include <doctest/doctest.h>

#include "gullstall/customers.hpp"

using namespace gullstall;

namespace {

customer_declaration declared(const std::string &name, std::vector<std::string> keys)
{
    return customer_declaration{customer{name, std::nullopt, {}}, std::move(keys)};
}

/// Two customers with two keys and one key.
struct two_customers_fixture
{
    digest_secret secret = draw_digest_secret();
    customer_index index = value_of(
        make_customer_index({declared("north", {"n1", "n2"}), declared("south", {"s1"})}, secret));
};

caller_credentials read(const std::vector<std::string_view> &fields)
{
    return read_credentials(fields);
}

}  // namespace

TEST_CASE_FIXTURE(two_customers_fixture, "customers, known keys, name their holder")
{
    CHECK(find_customer(index, "n1")->name == "north");
    CHECK(find_customer(index, "n2")->name == "north");
    CHECK(find_customer(index, "s1")->name == "south");
}

// Guards against requests that run under a key which no customer holds.
TEST_CASE_FIXTURE(two_customers_fixture, "customers, other keys, name nobody")
{
    for (const std::string &key :
         {std::string(), std::string("n"), std::string("n1 "), std::string("N1"),
          std::string(100000, 'x'), std::string("n1\0", 3)}) {
        CHECK(find_customer(index, key) == nullptr);
    }
}

// Guards against requests that are counted for the wrong customer.
TEST_CASE("customers, one key with two holders, are rejected with both names")
{
    auto made =
        make_customer_index({declared("north", {"k"}), declared("south", {"k"})}, digest_secret{});
    REQUIRE_FALSE(succeeded(made));
    CHECK(error_of(made).code == error_code::duplicate);
    CHECK(error_of(made).message.find("north") != std::string::npos);
    CHECK(error_of(made).message.find("south") != std::string::npos);
}

TEST_CASE("customers, bad declarations, are rejected")
{
    digest_secret secret;
    CHECK_FALSE(succeeded(make_customer_index({declared("", {"k"})}, secret)));
    CHECK_FALSE(succeeded(make_customer_index({declared("a", {""})}, secret)));
    CHECK_FALSE(succeeded(make_customer_index({declared("a", {"k"}), declared("a", {})}, secret)));
    CHECK(succeeded(make_customer_index({declared("a", {}), declared("b", {"k", "k"})}, secret)));
}

// Guards against keys that can be derived from what a process holds.
TEST_CASE("key digests, two secrets, have nothing in common")
{
    key_digest a = digest_of(draw_digest_secret(), "key");
    key_digest b = digest_of(draw_digest_secret(), "key");
    CHECK(a != b);
    digest_secret fixed;
    CHECK(digest_of(fixed, "key") == digest_of(fixed, "key"));
    CHECK(digest_of(fixed, "key") != digest_of(fixed, "kez"));
}

TEST_CASE("credentials, bearer token, is read")
{
    using state = caller_credentials::state;
    CHECK(read({"Bearer abc"}) == caller_credentials{state::present, "abc"});
    CHECK(read({"bearer  abc"}) == caller_credentials{state::present, "abc"});
    CHECK(read({}).found == state::absent);
}

TEST_CASE("credentials, other schemes, several fields or odd tokens, are malformed")
{
    using state = caller_credentials::state;
    std::string long_value = "Bearer " + std::string(100000, 'x');
    for (const std::vector<std::string_view> &fields :
         std::vector<std::vector<std::string_view>>{{""},
                                                    {"Bearer"},
                                                    {"Bearer "},
                                                    {"abc"},
                                                    {"Basic abc"},
                                                    {"Bearer a b"},
                                                    {"Bearer a,b"},
                                                    {"Bearer a", "Bearer a"},
                                                    {long_value}}) {
        CHECK(read(fields) == caller_credentials{state::malformed, {}});
    }
}
