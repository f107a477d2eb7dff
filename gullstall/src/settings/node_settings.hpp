#ifndef GULLSTALL_SETTINGS_NODE_SETTINGS_HPP
#define GULLSTALL_SETTINGS_NODE_SETTINGS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "gullstall/generated/settings_generated.h"
#include "gullstall/src/core/result.hpp"
#include "gullstall/src/settings/endpoint.hpp"

namespace gullstall {

/// Name and Ed25519 public key (32 raw bytes) of someone who may sign bundles.
struct trusted_key
{
    std::string name;
    std::string public_key;

    bool operator==(const trusted_key &) const = default;
};

/// Effective settings of a node.
struct node_settings
{
    settings::node_section_values node;
    settings::listen_section_values listen;
    settings::worker_section_values worker;
    settings::platform_section_values platform;
    settings::membership_section_values membership;
    settings::trust_section_values trust;
    settings::log_section_values log;
    std::vector<endpoint> seeds;
    std::vector<trusted_key> trusted_keys;

    bool operator==(const node_settings &) const = default;
};

/// Reads the settings of a node.
/// \param name how errors call the text, usually its file
/// \returns the settings, or an error with file, line, key, what was found and
/// what is allowed
/// \see print_settings
result<node_settings> parse_settings(const std::string &name, std::string_view text);

/// \returns \a it as INI text, every effective value included
std::string print_settings(const node_settings &it);

/// Reads "name=hex, name=hex" into keys of 32 bytes.
result<std::vector<trusted_key>> parse_trusted_keys(std::string_view text);

}  // namespace gullstall

#endif
