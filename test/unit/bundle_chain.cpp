#include <doctest/doctest.h>

#include "test/support/world.hpp"

using namespace gullstall;

namespace {

std::string text_of(std::uint64_t version, const std::string &previous,
                    const std::string &reference = "CB-1", std::uint32_t signers_required = 1)
{
    return "[bundle]\nversion = " + std::to_string(version) + "\nprevious = " + previous +
           "\nauthor = tester\nreference = " + reference +
           "\nsigners_required = " + std::to_string(signers_required) +
           "\n[limits]\nretry_allowance = 2\n";
}

/// A node's rollout with version 1 in force, and two signers.
struct bundle_chain_fixture
{
    test::test_publisher board;
    key_pair second = value_of(make_key_pair());
    std::vector<trusted_key> trusted{{"board", board.keys.public_key},
                                     {"second", second.public_key}};
    rollout it;
    std::string first = board.sign(text_of(1, "none"));

    bundle_chain_fixture()
    {
        REQUIRE(succeeded(apply(first)));
    }

    result<done> apply(const std::string &stored)
    {
        return apply_bundle(it, stored, trusted, time_point{});
    }

    std::string digest() const
    {
        return it.in_force->digest;
    }

    /// Checks that \a stored is refused with \a reason and version 1 stays.
    void check_refused(const std::string &stored, error_code code, const std::string &reason)
    {
        result<done> applied = apply(stored);
        REQUIRE_FALSE(succeeded(applied));
        CHECK(error_of(applied).code == code);
        CHECK_MESSAGE(error_of(applied).message.find(reason) != std::string::npos,
                      error_of(applied).message);
        CHECK(version_in_force(it) == 1);
        CHECK(it.stored == first);
    }
};

}  // namespace

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, next version with the right previous, in force")
{
    CHECK(succeeded(apply(board.sign(text_of(2, digest())))));
    CHECK(version_in_force(it) == 2);
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, one byte of a signature changed, refused")
{
    signed_bundle changed = value_of(parse_signed(board.sign(text_of(2, digest()))));
    changed.signatures[0].bytes[5] ^= 1;
    check_refused(print_signed(changed), error_code::bad_signature, "is not good");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, text changed after signing, refused")
{
    signed_bundle changed = value_of(parse_signed(board.sign(text_of(2, digest()))));
    changed.text.replace(changed.text.find("retry_allowance = 2"), 19, "retry_allowance = 9");
    check_refused(print_signed(changed), error_code::bad_signature, "is not good");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, signed by a key nobody trusts, refused")
{
    key_pair stranger = value_of(make_key_pair());
    std::string stored =
        value_of(add_signature("test", text_of(2, digest()), "stranger", stranger.private_key));
    check_refused(stored, error_code::bad_signature, "unknown key 'stranger'");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, no signature at all, refused")
{
    std::string canonical = value_of(canonical_text("test", text_of(2, digest())));
    check_refused(print_signed(signed_bundle{canonical, {}}), error_code::bad_signature,
                  "found 0 signers, 1 are required");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, a version left out, refused as a gap")
{
    check_refused(board.sign(text_of(3, digest())), error_code::bad_version, "gap in the chain");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, follows another version 1, refused")
{
    std::string other = digest_of("another");
    check_refused(board.sign(text_of(2, other)), error_code::bad_version, "follows " + other);
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, same version with other content, refused")
{
    check_refused(board.sign(text_of(1, "none", "CB-9")), error_code::bad_version,
                  "is not above version 1");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, above the size limit, refused")
{
    check_refused(board.sign(text_of(2, digest())) + std::string(max_bundle_bytes, 'x'),
                  error_code::too_large, "allowed are 262144");
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, cut off at every byte, refused each time")
{
    std::string whole = board.sign(text_of(2, digest()));
    for (std::size_t n = 0; n < whole.size(); ++n) {
        CHECK_FALSE(succeeded(apply(whole.substr(0, n))));
    }
    check_refused(whole.substr(0, whole.size() - 1), error_code::bad_syntax, "cut off");
    CHECK(succeeded(apply(whole)));
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, not in canonical form, refused")
{
    std::string text = "# comment\n" + text_of(2, digest());
    signed_bundle made{
        text, {bundle_signature{"board", value_of(sign_text(text, board.keys.private_key))}}};
    check_refused(print_signed(made), error_code::bad_syntax, "canonical");
}

TEST_CASE_FIXTURE(bundle_chain_fixture,
                  "bundle, the one before asks for two signers, one is refused and two in force")
{
    REQUIRE(succeeded(apply(board.sign(text_of(2, digest(), "CB-2", 2)))));
    std::string one = board.sign(text_of(3, digest(), "CB-3"));
    result<done> alone = apply(one);
    REQUIRE_FALSE(succeeded(alone));
    CHECK(error_of(alone).message == "bundle: found 1 signers, 2 are required");
    CHECK_FALSE(
        succeeded(apply(value_of(add_signature("test", one, "board", board.keys.private_key)))));
    std::string two = value_of(add_signature("test", one, "second", second.private_key));
    CHECK(succeeded(apply(two)));
    CHECK(it.in_force->signers == std::vector<std::string>{"board", "second"});
    CHECK(digest_of(value_of(parse_signed(one)).text) == digest());
}

TEST_CASE_FIXTURE(bundle_chain_fixture, "roll-back, old content as a new version, in force")
{
    REQUIRE(
        succeeded(apply(board.sign(text_of(2, digest(), "CB-2") + "retry_budget_percent = 1"))));
    REQUIRE(succeeded(apply(board.sign(text_of(3, digest(), "CB-3")))));
    auto differences = value_of(
        diff_bundles(value_of(parse_signed(first)).text, value_of(parse_signed(it.stored)).text));
    for (const bundle_difference &each : differences) {
        CHECK(each.section == "bundle");
    }
    CHECK(version_in_force(it) == 3);
}

// Story: a table that was restored from an old copy names version 1 again while
// version 2 is in force. Without the guard the node goes back, and a call that
// the newer version protects is refused under the older one.
TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, lower version offered, the one in force stays")
{
    REQUIRE(succeeded(apply(board.sign(text_of(2, digest())))));
    rollout unguarded = it;
    unguarded.guards = rollout_guards{false, false};
    CHECK(succeeded(apply_bundle(unguarded, first, trusted, time_point{})));
    CHECK(version_in_force(unguarded) == 1);  // the violation
    CHECK_FALSE(succeeded(apply(first)));
    CHECK(version_in_force(it) == 2);
}

// Story: two operators each sign a version 2; the table accepts one, the other
// is handed out by a stray file. Without the chain check a node that takes the
// stray one runs another policy under the same number as everybody else.
TEST_CASE_FIXTURE(bundle_chain_fixture, "bundle, built on a version that lost, refused")
{
    std::string lost = value_of(canonical_text("test", text_of(2, digest(), "CB-lost")));
    REQUIRE(succeeded(apply(board.sign(text_of(2, digest(), "CB-won")))));
    std::string stray = board.sign(text_of(3, digest_of(lost)));
    rollout unguarded = it;
    unguarded.guards.chain = false;
    CHECK(succeeded(apply_bundle(unguarded, stray, trusted, time_point{})));  // the violation
    CHECK_FALSE(succeeded(apply(stray)));
    CHECK(version_in_force(it) == 2);
}

TEST_CASE("canonical text, comments blanks and order differ, same bytes")
{
    std::string a = "[limits]\nretry_allowance=2\n\n[bundle]\n# why\nversion = 1\nauthor = a\n";
    std::string b = "[bundle]\nauthor = a\nversion = 1\n[limits]\nretry_allowance = 2\n";
    CHECK(value_of(canonical_text("a", a)) == value_of(canonical_text("b", b)));
}

TEST_CASE("diff, key changed and section added, both named")
{
    auto found = value_of(diff_bundles("[limits]\nretry_allowance = 2\n",
                                       "[limits]\nretry_allowance = 3\n[class a]\npriority = 1\n"));
    REQUIRE(found.size() == 2);
    CHECK(print_difference(found[0]) == "[class a] priority: (not set) -> 1");
    CHECK(print_difference(found[1]) == "[limits] retry_allowance: 2 -> 3");
}
