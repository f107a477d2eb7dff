#ifndef GULLSTALL_SETTINGS_HPP
#define GULLSTALL_SETTINGS_HPP

/// Settings module: INI documents, sections read by schema, the node's settings.

#include "gullstall/src/settings/endpoint.hpp"
#include "gullstall/src/settings/ini.hpp"
#include "gullstall/src/settings/node_settings.hpp"
#include "gullstall/src/settings/section_reader.hpp"

#endif
