#include "gullstall/src/bundle/signature.hpp"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <memory>
#include <optional>
#include <set>

#include "gullstall/src/bundle/canonical.hpp"
#include "gullstall/src/core/hex.hpp"

namespace gullstall {

namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::size_t signature_bytes = 64;
constexpr std::string_view signature_word = "signature ";
constexpr std::string_view size_word = "bundle ";

struct key_free
{
    void operator()(EVP_PKEY *it) const
    {
        EVP_PKEY_free(it);
    }
};
struct digest_free
{
    void operator()(EVP_MD_CTX *it) const
    {
        EVP_MD_CTX_free(it);
    }
};
using key_handle = std::unique_ptr<EVP_PKEY, key_free>;
using digest_handle = std::unique_ptr<EVP_MD_CTX, digest_free>;

const unsigned char *bytes_of(std::string_view it)
{
    return reinterpret_cast<const unsigned char *>(it.data());
}

unsigned char *bytes_of(std::string &it)
{
    return reinterpret_cast<unsigned char *>(it.data());
}

bool signature_is_good(std::string_view text, std::string_view signature, std::string_view key)
{
    key_handle handle(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(key), key.size()));
    digest_handle context(EVP_MD_CTX_new());
    if (!handle || !context ||
        EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, handle.get()) != 1) {
        return false;
    }
    return EVP_DigestVerify(context.get(), bytes_of(signature), signature.size(), bytes_of(text),
                            text.size()) == 1;
}

result<bundle_signature> parse_signature_line(std::string_view line)
{
    const error bad{error_code::bad_syntax,
                    "bundle: found '" + std::string(line.substr(0, 80)) +
                        "', expected a line 'signature NAME HEX' or an empty line"};
    if (line.substr(0, signature_word.size()) != signature_word) {
        return bad;
    }
    std::string_view rest = line.substr(signature_word.size());
    std::size_t space = rest.find(' ');
    if (space == std::string_view::npos) {
        return bad;
    }
    result<std::string> bytes = from_hex(rest.substr(space + 1));
    if (!succeeded(bytes) || value_of(bytes).size() != signature_bytes) {
        return bad;
    }
    return bundle_signature{std::string(rest.substr(0, space)), value_of(bytes)};
}

/// Takes the first line off \a rest.
/// \returns the line, none when no line end is left
std::optional<std::string_view> take_line(std::string_view &rest)
{
    std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return line;
}

result<std::size_t> take_size_line(std::string_view &rest)
{
    std::optional<std::string_view> line = take_line(rest);
    std::size_t n = 0;
    if (!line || line->substr(0, size_word.size()) != size_word ||
        !boost::conversion::try_lexical_convert(std::string(line->substr(size_word.size())), n)) {
        return error{error_code::bad_syntax, "bundle: expected a first line 'bundle BYTES'"};
    }
    return n;
}

}  // namespace

result<key_pair> make_key_pair()
{
    key_handle handle(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    key_pair out{std::string(key_bytes, '\0'), std::string(key_bytes, '\0')};
    std::size_t n = key_bytes;
    std::size_t m = key_bytes;
    if (!handle || EVP_PKEY_get_raw_private_key(handle.get(), bytes_of(out.private_key), &n) != 1 ||
        EVP_PKEY_get_raw_public_key(handle.get(), bytes_of(out.public_key), &m) != 1) {
        return error{error_code::unavailable, "the system gave no key"};
    }
    return out;
}

result<std::string> sign_text(std::string_view text, std::string_view private_key)
{
    key_handle handle(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes_of(private_key),
                                                   private_key.size()));
    digest_handle context(EVP_MD_CTX_new());
    std::string out(signature_bytes, '\0');
    std::size_t n = out.size();
    if (!handle || !context ||
        EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, handle.get()) != 1 ||
        EVP_DigestSign(context.get(), bytes_of(out), &n, bytes_of(text), text.size()) != 1) {
        return error{error_code::bad_signature, "the private key does not sign"};
    }
    return out;
}

std::string digest_of(std::string_view bytes)
{
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    SHA256(bytes_of(bytes), bytes.size(), bytes_of(out));
    return to_hex(out);
}

std::string print_signed(const signed_bundle &it)
{
    std::string out = std::string(size_word) + std::to_string(it.text.size()) + "\n";
    for (const bundle_signature &signature : it.signatures) {
        out +=
            std::string(signature_word) + signature.signer + " " + to_hex(signature.bytes) + "\n";
    }
    return out + "\n" + it.text;
}

result<signed_bundle> parse_signed(std::string_view stored)
{
    if (stored.size() > max_bundle_bytes) {
        return error{error_code::too_large, "bundle: found " + std::to_string(stored.size()) +
                                                " bytes, allowed are " +
                                                std::to_string(max_bundle_bytes)};
    }
    result<std::size_t> n = take_size_line(stored);
    if (!succeeded(n)) {
        return error_of(n);
    }
    signed_bundle out;
    while (true) {
        std::optional<std::string_view> line = take_line(stored);
        if (!line) {
            return error{error_code::bad_syntax, "bundle: cut off before its text"};
        }
        if (line->empty()) {
            break;
        }
        result<bundle_signature> signature = parse_signature_line(*line);
        if (!succeeded(signature)) {
            return error_of(signature);
        }
        out.signatures.push_back(value_of(signature));
    }
    if (stored.size() != value_of(n)) {
        return error{error_code::bad_syntax,
                     std::string("bundle: ") +
                         (stored.size() < value_of(n) ? "cut off" : "too long") + ", found " +
                         std::to_string(stored.size()) + " of " + std::to_string(value_of(n)) +
                         " bytes of its text"};
    }
    out.text = std::string(stored);
    return out;
}

result<verified_bundle> verify_bundle(std::string_view stored,
                                      const std::vector<trusted_key> &trusted,
                                      std::uint32_t signers_required)
{
    result<signed_bundle> parsed = parse_signed(stored);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    const signed_bundle &it = value_of(parsed);
    std::set<std::string> signers;
    for (const bundle_signature &signature : it.signatures) {
        auto key = std::find_if(trusted.begin(), trusted.end(), [&](const trusted_key &candidate) {
            return candidate.name == signature.signer;
        });
        if (key == trusted.end()) {
            return error{error_code::bad_signature,
                         "bundle: signed by unknown key '" + signature.signer + "'"};
        }
        if (!signature_is_good(it.text, signature.bytes, key->public_key)) {
            return error{error_code::bad_signature,
                         "bundle: the signature of '" + signature.signer + "' is not good"};
        }
        signers.insert(signature.signer);
    }
    if (signers.size() < signers_required) {
        return error{error_code::bad_signature,
                     "bundle: found " + std::to_string(signers.size()) + " signers, " +
                         std::to_string(signers_required) + " are required"};
    }
    result<std::string> canonical = canonical_text("bundle", it.text);
    if (!succeeded(canonical) || value_of(canonical) != it.text) {
        return succeeded(canonical)
                   ? error{error_code::bad_syntax, "bundle: the text is not in canonical form"}
                   : error_of(canonical);
    }
    result<bundle> content = parse_bundle("bundle", it.text);
    if (!succeeded(content)) {
        return error_of(content);
    }
    return verified_bundle{value_of(content), digest_of(it.text),
                           std::vector<std::string>(signers.begin(), signers.end())};
}

result<std::string> add_signature(const std::string &name, std::string_view content,
                                  const std::string &signer, std::string_view private_key)
{
    signed_bundle it;
    if (content.substr(0, size_word.size()) == size_word) {
        result<signed_bundle> parsed = parse_signed(content);
        if (!succeeded(parsed)) {
            return error_of(parsed);
        }
        it = value_of(std::move(parsed));
    } else {
        result<std::string> text = canonical_text(name, content);
        if (!succeeded(text)) {
            return error_of(text);
        }
        it.text = value_of(std::move(text));
    }
    result<bundle> read = parse_bundle(name, it.text);
    if (!succeeded(read)) {
        return error_of(read);
    }
    result<std::string> signature = sign_text(it.text, private_key);
    if (!succeeded(signature)) {
        return error_of(signature);
    }
    std::erase_if(it.signatures,
                  [&](const bundle_signature &other) { return other.signer == signer; });
    it.signatures.push_back(bundle_signature{signer, value_of(signature)});
    return print_signed(it);
}

}  // namespace gullstall
