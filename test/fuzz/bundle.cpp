/// Fuzz target of the bundle reader: whatever text comes, it refuses it or
/// gives a bundle that answers for every call it names. The stored form with
/// its signatures is read too.

#include <cstdlib>

#include "gullstall/bundle.hpp"

// The name is libFuzzer's.  NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view text(reinterpret_cast<const char *>(data), size);
    (void)gullstall::verify_bundle(text, {}, 0);
    auto read = gullstall::parse_bundle("fuzz", text);
    if (!gullstall::succeeded(read)) {
        return 0;
    }
    for (const auto &[type, call] : gullstall::value_of(read).calls) {
        auto rule = gullstall::policy_for(gullstall::value_of(read), type.service, type.operation);
        if (rule.class_priority > gullstall::lowest_priority) {
            std::abort();
        }
    }
    return 0;
}
