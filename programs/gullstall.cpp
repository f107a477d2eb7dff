/// gullstall: the operators' command.

#include <CLI/CLI.hpp>
#include <iostream>

#include "gullstall/version.hpp"
#include "programs/bundle_commands.hpp"
#include "programs/fleet_commands.hpp"

int main(int argc, char **argv)
{
    CLI::App app{"Drives gullstall: signs and publishes bundles, shows what the nodes do."};
    app.set_version_flag("--version", gullstall::version);
    app.require_subcommand(1);
    int exit_code = 0;
    gullstall::programs::add_bundle_commands(app, exit_code);
    gullstall::programs::add_fleet_commands(app, exit_code);
    CLI11_PARSE(app, argc, argv);
    return exit_code;
}
