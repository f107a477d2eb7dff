#include "programs/bundle_commands.hpp"

#include <iostream>
#include <memory>
#include <random>

#include "gullstall/bundle.hpp"
#include "gullstall/core.hpp"
#include "programs/operator_client.hpp"

namespace gullstall::programs {

namespace {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr int exit_lost_race = 3;

int fail(int code, const std::string &message)
{
    std::cerr << "gullstall: " << message << "\n";
    return code;
}

int run_keygen(const std::string &name, const std::string &file)
{
    result<key_pair> made = make_key_pair();
    if (!succeeded(made)) {
        return fail(exit_failed, error_of(made).message);
    }
    result<done> written = write_file(file, to_hex(value_of(made).private_key) + "\n");
    if (!succeeded(written)) {
        return fail(exit_failed, error_of(written).message);
    }
    std::cout << name << "=" << to_hex(value_of(made).public_key) << "\n";
    return exit_done;
}

int run_lint(const std::string &file)
{
    result<std::string> text = read_file(file);
    if (!succeeded(text)) {
        return fail(exit_bad_input, error_of(text).message);
    }
    result<bundle> read = parse_bundle(file, value_of(text));
    if (!succeeded(read)) {
        return fail(exit_bad_input, error_of(read).message);
    }
    std::cout << file << ": version " << value_of(read).head.version << ", "
              << value_of(read).calls.size() << " calls\n";
    return exit_done;
}

int run_sign(const std::string &file, const std::string &key_file, const std::string &signer,
             const std::string &out_file)
{
    result<std::string> text = read_file(file);
    result<std::string> key_text = read_file(key_file);
    if (!succeeded(text) || !succeeded(key_text)) {
        return fail(exit_bad_input, error_of(succeeded(text) ? key_text : text).message);
    }
    result<bundle> read = parse_bundle(file, value_of(text));
    if (!succeeded(read)) {
        return fail(exit_bad_input, error_of(read).message);
    }
    std::string digits = value_of(key_text).substr(0, value_of(key_text).find('\n'));
    result<std::string> key = from_hex(digits);
    if (!succeeded(key)) {
        return fail(exit_bad_input, key_file + ": " + error_of(key).message);
    }
    result<std::string> signature = sign_text(value_of(text), value_of(key));
    if (!succeeded(signature)) {
        return fail(exit_bad_input, error_of(signature).message);
    }
    signed_bundle made{value_of(text), {bundle_signature{signer, value_of(signature)}}};
    result<done> written = write_file(out_file, print_signed(made));
    return succeeded(written) ? exit_done : fail(exit_failed, error_of(written).message);
}

std::string make_token()
{
    std::random_device source;
    random_source random(source());
    return std::to_string(random()) + std::to_string(random());
}

int run_publish(const std::string &file, const std::string &platform)
{
    result<std::string> stored = read_file(file);
    result<endpoint> at = parse_endpoint(platform);
    if (!succeeded(stored)) {
        return fail(exit_bad_input, error_of(stored).message);
    }
    if (!succeeded(at)) {
        return fail(exit_bad_input, error_of(at).message);
    }
    result<signed_bundle> parsed = parse_signed(value_of(stored));
    if (!succeeded(parsed)) {
        return fail(exit_bad_input, error_of(parsed).message);
    }
    result<bundle> content = parse_bundle(file, value_of(parsed).text);
    if (!succeeded(content)) {
        return fail(exit_bad_input, error_of(content).message);
    }
    std::uint64_t version = value_of(content).head.version;
    std::string digest = digest_of(value_of(stored));
    platform_answer put =
        ask_platform_now(value_of(at), object_put{bundle_object_name(digest), value_of(stored)});
    if (put.status != platform_status::done) {
        return fail(exit_failed, "the object store did not take the bundle; publish again");
    }
    platform_answer read = ask_platform_now(value_of(at), table_read{{bundle_head_key}});
    if (read.status != platform_status::done) {
        return fail(exit_failed, "the table could not be read; publish again");
    }
    std::uint64_t row_version = read.rows.empty() ? 0 : read.rows.front().version;
    std::uint64_t published = 0;
    if (!read.rows.empty()) {
        result<bundle_head> head = parse_head(read.rows.front().value);
        published = succeeded(head) ? value_of(head).version : 0;
    }
    if (version != published + 1) {
        return fail(exit_lost_race, "version " + std::to_string(version) +
                                        " does not follow version " + std::to_string(published) +
                                        ", which is published");
    }
    bundle_head head{version, digest, make_token()};
    platform_answer written = ask_platform_now(
        value_of(at), table_commit{{row_write{bundle_head_key, row_version, print_head(head)}}});
    if (written.status != platform_status::done) {
        return fail(exit_failed, "the head row was not written; see `bundle status`");
    }
    std::cout << "published version " << version << " " << digest << "\n";
    return exit_done;
}

struct options
{
    std::string file;
    std::string out;
    std::string key;
    std::string name;
    std::string platform;
};

}  // namespace

void add_bundle_commands(CLI::App &app, int &exit_code)
{
    auto opt = std::make_shared<options>();
    CLI::App *keygen = app.add_subcommand("keygen", "make a key pair for signing bundles");
    keygen->add_option("--name", opt->name, "name of the signer")->required();
    keygen->add_option("--out", opt->out, "file for the private key")->required();
    keygen->callback([opt, &exit_code] { exit_code = run_keygen(opt->name, opt->out); });

    CLI::App *group = app.add_subcommand("bundle", "work on bundles");
    group->require_subcommand(1);
    CLI::App *lint = group->add_subcommand("lint", "check a bundle's text");
    lint->add_option("file", opt->file)->required();
    lint->callback([opt, &exit_code] { exit_code = run_lint(opt->file); });

    CLI::App *sign = group->add_subcommand("sign", "sign a bundle's text");
    sign->add_option("file", opt->file)->required();
    sign->add_option("--key", opt->key, "file of the private key")->required();
    sign->add_option("--signer", opt->name, "name of the signer")->required();
    sign->add_option("--out", opt->out, "file for the signed bundle")->required();
    sign->callback(
        [opt, &exit_code] { exit_code = run_sign(opt->file, opt->key, opt->name, opt->out); });

    CLI::App *publish = group->add_subcommand("publish", "publish a signed bundle");
    publish->add_option("file", opt->file)->required();
    publish->add_option("--platform", opt->platform, "address:port of the platform")->required();
    publish->callback([opt, &exit_code] { exit_code = run_publish(opt->file, opt->platform); });
}

}  // namespace gullstall::programs
