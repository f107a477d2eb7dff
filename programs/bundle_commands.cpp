#include "programs/bundle_commands.hpp"

#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

#include "gullstall/bundle.hpp"
#include "gullstall/core.hpp"
#include "programs/fleet_status.hpp"
#include "programs/operator_client.hpp"

namespace gullstall::programs {

namespace json = boost::json;

namespace {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr int exit_lost_race = 3;
constexpr int exit_differs = 4;

json::array to_json(const std::vector<bundle_difference> &differences)
{
    json::array out;
    for (const bundle_difference &it : differences) {
        out.push_back(json::object{
            {"section", it.section}, {"key", it.key}, {"before", it.before}, {"after", it.after}});
    }
    return out;
}

void print(const std::vector<bundle_difference> &differences)
{
    for (const bundle_difference &it : differences) {
        std::cout << print_difference(it) << "\n";
    }
}

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

struct options
{
    std::string file;
    std::string other;
    std::string out;
    std::string key;
    std::string keys;
    std::string name;
    std::string platform;
    std::vector<std::string> seeds;
    bool json = false;
};

int fail_with(const options &opt, int code, const error &e)
{
    if (opt.json) {
        std::cout << json::serialize(json::object{{"ok", false}, {"error", e.message}}) << "\n";
    }
    return fail(code, e.message);
}

/// \returns the text of a bundle file, signed or not
result<std::string> read_bundle_text(const std::string &file)
{
    result<std::string> content = read_file(file);
    if (!succeeded(content)) {
        return content;
    }
    result<signed_bundle> parsed = parse_signed(value_of(content));
    return succeeded(parsed) ? value_of(parsed).text : value_of(content);
}

int run_lint(const options &opt)
{
    result<std::string> text = read_bundle_text(opt.file);
    result<bundle> read =
        succeeded(text) ? parse_bundle(opt.file, value_of(text)) : result<bundle>(error_of(text));
    result<std::string> canonical = succeeded(read) ? canonical_text(opt.file, value_of(text))
                                                    : result<std::string>(error_of(read));
    if (!succeeded(canonical)) {
        return fail_with(opt, exit_bad_input, error_of(canonical));
    }
    const bundle &it = value_of(read);
    std::string digest = digest_of(value_of(canonical));
    if (opt.json) {
        std::cout << json::serialize(json::object{{"ok", true},
                                                  {"version", it.head.version},
                                                  {"previous", it.head.previous},
                                                  {"digest", digest},
                                                  {"calls", it.calls.size()}})
                  << "\n";
        return exit_done;
    }
    std::cout << opt.file << ": version " << it.head.version << ", " << it.calls.size()
              << " calls, digest " << digest << "\n";
    return exit_done;
}

int run_sign(const options &opt)
{
    result<std::string> content = read_file(opt.file);
    result<std::string> key_text = read_file(opt.key);
    if (!succeeded(content) || !succeeded(key_text)) {
        return fail_with(opt, exit_bad_input, error_of(succeeded(content) ? key_text : content));
    }
    std::string digits = value_of(key_text).substr(0, value_of(key_text).find('\n'));
    result<std::string> key = from_hex(digits);
    if (!succeeded(key)) {
        return fail(exit_bad_input, opt.key + ": " + error_of(key).message);
    }
    result<std::string> made = add_signature(opt.file, value_of(content), opt.name, value_of(key));
    if (!succeeded(made)) {
        return fail_with(opt, exit_bad_input, error_of(made));
    }
    result<done> written = write_file(opt.out, value_of(made));
    return succeeded(written) ? exit_done : fail_with(opt, exit_failed, error_of(written));
}

int run_diff(const options &opt)
{
    result<std::string> before = read_bundle_text(opt.file);
    result<std::string> after = read_bundle_text(opt.other);
    if (!succeeded(before) || !succeeded(after)) {
        return fail_with(opt, exit_bad_input, error_of(succeeded(before) ? after : before));
    }
    auto differences = diff_bundles(value_of(before), value_of(after));
    if (!succeeded(differences)) {
        return fail_with(opt, exit_bad_input, error_of(differences));
    }
    if (opt.json) {
        std::cout << json::serialize(to_json(value_of(differences))) << "\n";
    } else {
        print(value_of(differences));
    }
    return value_of(differences).empty() ? exit_done : exit_differs;
}

std::string make_token()
{
    std::random_device source;
    random_source random(source());
    return std::to_string(random()) + std::to_string(random());
}

/// Drives a publication until it ends.
publish_end drive(publication &it, const endpoint &platform)
{
    publish_action next = first_action(it);
    while (true) {
        if (auto *end = std::get_if<publish_end>(&next)) {
            return std::move(*end);
        }
        platform_request what;
        if (auto *pause = std::get_if<publish_pause>(&next)) {
            std::this_thread::sleep_for(pause->time);
            what = std::move(pause->next);
        } else {
            what = std::get<platform_request>(std::move(next));
        }
        next = on_publish_answer(it, ask_platform_now(platform, what));
    }
}

int exit_code_of(publish_result how)
{
    switch (how) {
        case publish_result::published:
            return exit_done;
        case publish_result::lost_race:
            return exit_lost_race;
        case publish_result::refused:
            return exit_bad_input;
        case publish_result::undecided:
            break;
    }
    return exit_failed;
}

void print_end(const options &opt, const publication &it, const publish_end &end)
{
    bool good = end.how == publish_result::published;
    if (!opt.json) {
        (good ? std::cout : std::cerr) << (good ? "" : "gullstall: ") << end.message << "\n";
        if (!end.differences.empty()) {
            std::cout << "from this bundle to the published one:\n";
            print(end.differences);
        }
        return;
    }
    json::object out{{"ok", good},
                     {"version", it.head.version},
                     {"digest", it.head.digest},
                     {"message", end.message},
                     {"differences", to_json(end.differences)}};
    if (end.winner) {
        out["winner"] = json::object{{"version", end.winner->version},
                                     {"digest", end.winner->digest},
                                     {"author", end.winner->author},
                                     {"reference", end.winner->reference}};
    }
    std::cout << json::serialize(out) << "\n";
}

int run_publish(const options &opt)
{
    result<std::string> stored = read_file(opt.file);
    result<endpoint> at = parse_endpoint(opt.platform);
    result<std::vector<trusted_key>> keys = parse_trusted_keys(opt.keys);
    if (!succeeded(stored)) {
        return fail_with(opt, exit_bad_input, error_of(stored));
    }
    if (!succeeded(at) || !succeeded(keys)) {
        return fail_with(opt, exit_bad_input, succeeded(at) ? error_of(keys) : error_of(at));
    }
    if (value_of(keys).empty()) {
        std::cerr << "gullstall: no --keys: the signatures are not checked before publishing\n";
    }
    result<publication> begun = begin_publication(value_of(stored), make_token(), value_of(keys));
    if (!succeeded(begun)) {
        return fail_with(opt, exit_bad_input, error_of(begun));
    }
    publish_end end = drive(value_of(begun), value_of(at));
    print_end(opt, value_of(begun), end);
    return exit_code_of(end.how);
}

int run_status(const options &opt)
{
    std::vector<endpoint> seeds;
    for (const std::string &it : opt.seeds) {
        result<endpoint> at = parse_endpoint(it);
        if (!succeeded(at)) {
            return fail_with(opt, exit_bad_input, error_of(at));
        }
        seeds.push_back(value_of(at));
    }
    fleet_status fleet = ask_fleet(seeds);
    if (fleet.nodes.empty()) {
        return fail_with(opt, exit_failed,
                         error{error_code::unavailable, "none of the seeds gives an answer"});
    }
    std::cout << (opt.json ? print_fleet_json(fleet) : print_fleet(fleet));
    return fleet.is_whole() ? exit_done : exit_differs;
}

void add_keygen(CLI::App &app, const std::shared_ptr<options> &opt, int &exit_code)
{
    CLI::App *keygen = app.add_subcommand("keygen", "make a key pair for signing bundles");
    keygen->add_option("--name", opt->name, "name of the signer")->required();
    keygen->add_option("--out", opt->out, "file for the private key")->required();
    keygen->callback([opt, &exit_code] { exit_code = run_keygen(opt->name, opt->out); });
}

void add_sign(CLI::App &group, const std::shared_ptr<options> &opt, int &exit_code)
{
    CLI::App *sign =
        group.add_subcommand("sign", "sign a bundle's text, or add a signature to a signed bundle");
    sign->add_option("file", opt->file)->required();
    sign->add_option("--key", opt->key, "file of the private key")->required();
    sign->add_option("--signer", opt->name, "name of the signer")->required();
    sign->add_option("--out", opt->out, "file for the signed bundle")->required();
    sign->add_flag("--json", opt->json);
    sign->callback([opt, &exit_code] { exit_code = run_sign(*opt); });
}

void add_publish(CLI::App &group, const std::shared_ptr<options> &opt, int &exit_code)
{
    CLI::App *publish = group.add_subcommand(
        "publish", "publish a signed bundle; exit code 3: another one was published first");
    publish->add_option("file", opt->file)->required();
    publish->add_option("--platform", opt->platform, "address:port of the platform")->required();
    publish->add_option("--keys", opt->keys,
                        "name=hex public keys that the nodes trust, comma separated");
    publish->add_flag("--json", opt->json);
    publish->callback([opt, &exit_code] { exit_code = run_publish(*opt); });
}

void add_status(CLI::App &group, const std::shared_ptr<options> &opt, int &exit_code)
{
    CLI::App *status = group.add_subcommand(
        "status", "which version is in force at every node; exit code 4: not the same at all");
    status->add_option("--seed", opt->seeds, "address:port of an admin port, may be repeated")
        ->required();
    status->add_flag("--json", opt->json);
    status->callback([opt, &exit_code] { exit_code = run_status(*opt); });
}

}  // namespace

void add_bundle_commands(CLI::App &app, int &exit_code)
{
    auto opt = std::make_shared<options>();
    add_keygen(app, opt, exit_code);
    CLI::App *group = app.add_subcommand("bundle", "work on bundles");
    group->require_subcommand(1);
    CLI::App *lint = group->add_subcommand("lint", "check a bundle's text");
    lint->add_option("file", opt->file)->required();
    lint->add_flag("--json", opt->json);
    lint->callback([opt, &exit_code] { exit_code = run_lint(*opt); });
    CLI::App *diff = group->add_subcommand("diff", "compare two bundles; exit code 4: they differ");
    diff->add_option("before", opt->file)->required();
    diff->add_option("after", opt->other)->required();
    diff->add_flag("--json", opt->json);
    diff->callback([opt, &exit_code] { exit_code = run_diff(*opt); });
    add_sign(*group, opt, exit_code);
    add_publish(*group, opt, exit_code);
    add_status(*group, opt, exit_code);
}

}  // namespace gullstall::programs
