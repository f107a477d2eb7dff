#ifndef GULLSTALL_BUNDLE_SIGNATURE_HPP
#define GULLSTALL_BUNDLE_SIGNATURE_HPP

#include <string>
#include <string_view>

#include "gullstall/src/bundle/bundle.hpp"
#include "gullstall/src/core/result.hpp"
#include "gullstall/src/settings/node_settings.hpp"

namespace gullstall {

/// Ed25519 key pair, raw bytes.
struct key_pair
{
    std::string private_key;
    std::string public_key;

    bool operator==(const key_pair &) const = default;
};

/// A signature with the name of its signer.
struct bundle_signature
{
    std::string signer;
    std::string bytes;

    bool operator==(const bundle_signature &) const = default;
};

/// A bundle's text with its signatures, as it is stored and spread.
struct signed_bundle
{
    std::string text;
    std::vector<bundle_signature> signatures;

    bool operator==(const signed_bundle &) const = default;
};

/// A bundle whose signatures were checked.
struct verified_bundle
{
    bundle content;
    std::string digest;  ///< SHA-256 of the canonical text, hexadecimal
    std::vector<std::string> signers;

    bool operator==(const verified_bundle &) const = default;
};

/// \returns a new key pair from the system's random source
result<key_pair> make_key_pair();

/// Signs \a text with \a private_key (32 raw bytes).
result<std::string> sign_text(std::string_view text, std::string_view private_key);

/// \returns SHA-256 of \a bytes as hexadecimal digits
std::string digest_of(std::string_view bytes);

/// \returns the stored form: a line with the text's size, a line for each
/// signature, an empty line, the text
std::string print_signed(const signed_bundle &it);

/// Reads the stored form.
result<signed_bundle> parse_signed(std::string_view stored);

/// Reads the stored form and checks it: every signature is by a trusted key and
/// good, there are at least \a signers_required different signers, and the text
/// is a bundle in canonical form.
/// \returns the bundle, or too_large, bad_syntax, bad_signature or what
/// parse_bundle finds
result<verified_bundle> verify_bundle(std::string_view stored,
                                      const std::vector<trusted_key> &trusted,
                                      std::uint32_t signers_required);

/// Signs a bundle's text, in its canonical form, or adds a signature to a bundle
/// that is signed already.
/// \param name how errors call the content, usually its file
/// \returns the stored form, or what parsing finds
result<std::string> add_signature(const std::string &name, std::string_view content,
                                  const std::string &signer, std::string_view private_key);

}  // namespace gullstall

#endif
