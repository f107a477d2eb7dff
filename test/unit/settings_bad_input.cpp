#include <doctest/doctest.h>

#include <boost/algorithm/string/replace.hpp>
#include <string>
#include <vector>

#include "gullstall/bundle.hpp"
#include "gullstall/settings.hpp"
#include "gullstall/wire.hpp"

using namespace gullstall;

namespace {

/// A change to a good text, and the error that it brings. An empty \a from
/// puts \a to in the place of the whole text.
struct bad_input
{
    const char *name;
    const char *from;
    const char *to;
    error_code code;
    const char *message;
};

const std::string key_digits(64, 'a');

const std::string good_settings =
    "[node]\n"                 // 1
    "instance = boxwatch-1\n"  // 2
    "zone = midrand\n"         // 3
    "service = boxwatch\n"     // 4
    "[listen]\n"               // 5
    "address = 127.0.0.1\n"    // 6
    "callers_port = 7001\n"    // 7
    "peers_port = 7002\n"      // 8
    "admin_port = 7003\n"      // 9
    "[worker]\n"               // 10
    "address = 127.0.0.1\n"    // 11
    "port = 7004\n"            // 12
    "slots = 20\n"             // 13
    "connections = 200\n"      // 14
    "[platform]\n"             // 15
    "address = 10.0.0.9\n"     // 16
    "port = 7100\n"            // 17
    "[membership]\n"           // 18
    "seeds = 10.0.0.1:7002\n"  // 19
    "[trust]\n"                // 20
    "keys = board=" +
    key_digits +
    "\n"               // 21
    "[log]\n"          // 22
    "level = info\n";  // 23

const std::string good_bundle =
    "[bundle]\n"                    // 1
    "version = 1\n"                 // 2
    "previous = none\n"             // 3
    "author = tester\n"             // 4
    "reference = CB-1\n"            // 5
    "[limits]\n"                    // 6
    "retry_allowance = 3\n"         // 7
    "[class dispatch]\n"            // 8
    "priority = 0\n"                // 9
    "protect = true\n"              // 10
    "[call dispatcher dispatch]\n"  // 11
    "class_name = dispatch\n"       // 12
    "time_ms = 5000\n";             // 13

const std::vector<bad_input> settings_table{
    {"missing key", "zone = midrand", "zoom = midrand", error_code::missing,
     "s.ini:1: section [node] lacks the key 'zone'"},
    {"unknown key", "zone = midrand", "zone = midrand\nzoom = 1", error_code::unknown_name,
     "s.ini:4: found unknown key 'zoom', allowed are instance, zone, region, service"},
    {"unknown section", "[log]", "[logs]", error_code::unknown_name,
     "s.ini:22: found unknown section [logs], allowed are node, listen, worker, platform, "
     "membership, trust, log"},
    {"section with a word", "[log]", "[log file]", error_code::unknown_name,
     "s.ini:22: found unknown section [log file], allowed are node, listen, worker, platform, "
     "membership, trust, log"},
    {"section twice", "[trust]\nkeys", "[log]\nlevel", error_code::duplicate,
     "s.ini:22: section [log] stands twice"},
    {"duplicate key", "zone = midrand", "zone = midrand\nzone = germiston", error_code::duplicate,
     "s.ini:4: key 'zone' stands twice in its section"},
    {"key before a section", "[node]\n", "", error_code::bad_syntax,
     "s.ini:1: key 'instance' stands before the first section"},
    {"line without =", "zone = midrand", "zone midrand", error_code::bad_syntax,
     "s.ini:3: found 'zone midrand', expected key = value"},
    {"value without a key", "zone = midrand", "= midrand", error_code::bad_syntax,
     "s.ini:3: found a value without a key"},
    {"open bracket", "[listen]", "[listen", error_code::bad_syntax,
     "s.ini:5: found '[listen', expected a section as [name]"},
    {"empty section", "[listen]", "[ ]", error_code::bad_syntax,
     "s.ini:5: found a section without a name"},
    {"empty name", "instance = boxwatch-1", "instance =", error_code::missing,
     "s.ini:2: key 'instance' is empty"},
    {"port of 0", "callers_port = 7001", "callers_port = 0", error_code::out_of_range,
     "s.ini:7: key 'callers_port': found 0, allowed 1 to 65535"},
    {"port too high", "callers_port = 7001", "callers_port = 65536", error_code::out_of_range,
     "s.ini:7: key 'callers_port': found 65536, allowed 1 to 65535"},
    {"port as a word", "callers_port = 7001", "callers_port = http", error_code::wrong_type,
     "s.ini:7: key 'callers_port': found 'http', expected a whole number"},
    {"negative number", "slots = 20", "slots = -1", error_code::wrong_type,
     "s.ini:13: key 'slots': found '-1', expected a whole number"},
    {"number with a unit", "slots = 20", "slots = 20k", error_code::wrong_type,
     "s.ini:13: key 'slots': found '20k', expected a whole number"},
    {"number beyond 64 bits", "slots = 20", "slots = 99999999999999999999",
     error_code::out_of_range,
     "s.ini:13: key 'slots': found 99999999999999999999, allowed 1 to 100000"},
    {"empty number", "slots = 20", "slots =", error_code::wrong_type,
     "s.ini:13: key 'slots': found '', expected a whole number"},
    {"body limit above a frame", "admin_port = 7003",
     "admin_port = 7003\nbody_limit_bytes = 33554432", error_code::out_of_range,
     "s.ini:10: key 'body_limit_bytes': found 33554432, allowed 1024 to 32505856"},
    {"listen address as a name", "[listen]\naddress = 127.0.0.1", "[listen]\naddress = localhost",
     error_code::wrong_type, "s.ini:6: key 'address': found 'localhost', expected an IP number"},
    {"worker address cut short", "[worker]\naddress = 127.0.0.1", "[worker]\naddress = 127.0.0",
     error_code::wrong_type, "s.ini:11: key 'address': found '127.0.0', expected an IP number"},
    {"platform address out of range", "10.0.0.9", "10.0.0.999", error_code::wrong_type,
     "s.ini:16: key 'address': found '10.0.0.999', expected an IP number"},
    {"seed without a port", "10.0.0.1:7002", "10.0.0.1", error_code::wrong_type,
     "s.ini:19: key 'seeds': found '10.0.0.1', expected IP number:port"},
    {"seed by name", "10.0.0.1:7002", "germiston:7002", error_code::wrong_type,
     "s.ini:19: key 'seeds': found 'germiston:7002', expected IP number:port"},
    {"seed with port 0", "10.0.0.1:7002", "10.0.0.1:0", error_code::wrong_type,
     "s.ini:19: key 'seeds': found '10.0.0.1:0', expected IP number:port"},
    {"key without a name", "keys = board=", "keys = ", error_code::wrong_type,
     "s.ini:21: key 'keys': found "
     "'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa', "
     "expected name=hex key"},
    {"key too short", "keys = board=aa", "keys = board=", error_code::wrong_type,
     "s.ini:21: key 'keys': found "
     "'board=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa', "
     "expected a key of 64 hexadecimal digits"},
    {"log level", "level = info", "level = loud", error_code::out_of_range,
     "s.ini:23: key 'level': found 'loud', allowed are trace, debug, info, warn, error, off"},
    {"missing section", "[platform]\naddress = 10.0.0.9\nport = 7100\n", "", error_code::missing,
     "s.ini: lacks the section [platform]"},
    {"empty text", "", "", error_code::missing, "s.ini: lacks the section [node]"},
};

const std::vector<bad_input> bundle_table{
    {"unknown key", "retry_allowance = 3", "retries = 3", error_code::unknown_name,
     "b.ini:7: found unknown key 'retries', allowed are "},
    {"unknown section", "[limits]", "[limit]", error_code::unknown_name,
     "b.ini:6: found unknown section [limit], allowed are "},
    {"version of 0", "version = 1", "version = 0", error_code::out_of_range,
     "b.ini:2: key 'version': found 0, allowed 1 to 18446744073709551615"},
    {"version as a word", "version = 1", "version = one", error_code::wrong_type,
     "b.ini:2: key 'version': found 'one', expected a whole number"},
    {"no previous", "previous = none\n", "", error_code::missing,
     "b.ini:1: section [bundle] lacks the key 'previous'"},
    {"no reference", "reference = CB-1\n", "", error_code::missing,
     "b.ini:1: section [bundle] lacks the key 'reference'"},
    {"too many retries", "retry_allowance = 3", "retry_allowance = 65", error_code::out_of_range,
     "b.ini:7: key 'retry_allowance': found 65, allowed 0 to 64"},
    {"class without a name", "[class dispatch]", "[class]", error_code::bad_syntax,
     "b.ini:8: section [class] takes 1 names, found 0"},
    {"call with one name", "[call dispatcher dispatch]", "[call dispatcher]",
     error_code::bad_syntax, "b.ini:11: section [call] takes 2 names, found 1"},
    {"priority too low", "priority = 0", "priority = 16", error_code::out_of_range,
     "b.ini:9: key 'priority': found 16, allowed 0 to 15"},
    {"protect as a number", "protect = true", "protect = 1", error_code::wrong_type,
     "b.ini:10: key 'protect': found '1', expected true or false"},
    {"class that is not defined", "class_name = dispatch", "class_name = despatch",
     error_code::unknown_name, "names the class 'despatch', which no section defines"},
    {"class twice", "[call dispatcher dispatch]",
     "[class dispatch]\npriority = 1\n[call dispatcher dispatch]", error_code::duplicate,
     "b.ini:11: section [class dispatch] stands twice"},
    {"no head", "[bundle]\nversion = 1\nprevious = none\nauthor = tester\nreference = CB-1\n", "",
     error_code::missing, "b.ini: lacks the section [bundle]"},
};

std::string change(const std::string &good, const bad_input &it)
{
    std::string from = it.from;
    if (from.empty()) {
        return it.to;
    }
    REQUIRE(good.find(from) != std::string::npos);
    return boost::algorithm::replace_first_copy(good, from, std::string(it.to));
}

template <class Result>
void check_error(const Result &read, const bad_input &it)
{
    CAPTURE(std::string(it.name));
    REQUIRE_FALSE(succeeded(read));
    CHECK(error_of(read).code == it.code);
    std::string found = error_of(read).message;
    CAPTURE(found);
    CHECK(found.find(it.message) != std::string::npos);
}

struct bad_frame
{
    const char *name;
    std::string bytes;
    const char *message;
};

std::string good_frame()
{
    wire::frame_message frame;
    frame.sender = "boxwatch-1";
    wire::cancel_message cancel;
    cancel.correlation = 7;
    frame.payload.Set(std::move(cancel));
    return encode_frame(frame).substr(frame_prefix_bytes);
}

}  // namespace

TEST_CASE("settings, good text, read and printed so that it reads the same")
{
    auto read = parse_settings("s.ini", good_settings);
    REQUIRE(succeeded(read));
    auto again = parse_settings("printed.ini", print_settings(value_of(read)));
    REQUIRE(succeeded(again));
    CHECK(value_of(again) == value_of(read));
}

TEST_CASE("settings, bad text, refused with file, line, key, found and allowed")
{
    CHECK(settings_table.size() == 31);
    for (const bad_input &it : settings_table) {
        check_error(parse_settings("s.ini", change(good_settings, it)), it);
    }
}

TEST_CASE("bundle, bad text, refused with file, line, key, found and allowed")
{
    CHECK(succeeded(parse_bundle("b.ini", good_bundle)));
    CHECK(bundle_table.size() == 14);
    for (const bad_input &it : bundle_table) {
        check_error(parse_bundle("b.ini", change(good_bundle, it)), it);
    }
}

TEST_CASE("bundle, above the size limit, refused with found and allowed")
{
    auto read = parse_bundle("b.ini", std::string(max_bundle_bytes + 1, '\n'));
    REQUIRE_FALSE(succeeded(read));
    CHECK(error_of(read).code == error_code::too_large);
    CHECK(error_of(read).message == "b.ini: found 262145 bytes, allowed are 262144");
}

TEST_CASE("signed bundle, bad stored form, refused with the reason")
{
    const std::string size_line = "bundle " + std::to_string(good_bundle.size()) + "\n";
    const std::vector<std::pair<std::string, std::string>> table{
        {"", "bundle: expected a first line 'bundle BYTES'"},
        {"signature board", "bundle: expected a first line 'bundle BYTES'"},
        {"bundle many\n", "bundle: expected a first line 'bundle BYTES'"},
        {size_line, "bundle: cut off before its text"},
        {size_line + "signature board\n\n", "bundle: found 'signature board', expected a line"},
        {size_line + "signature board zz\n\n",
         "bundle: found 'signature board zz', expected a line"},
        {size_line + "signed by board\n\n", "bundle: found 'signed by board', expected a line"},
        {size_line + "\n" + good_bundle.substr(1), "bundle: cut off, found "},
        {size_line + "\n" + good_bundle + "\n", "bundle: too long, found "},
        {size_line + "\n" + good_bundle, "bundle: found 0 signers, 1 are required"},
        {size_line + "signature board " + std::string(128, 'a') + "\n\n" + good_bundle,
         "bundle: signed by unknown key 'board'"},
    };
    for (const auto &[stored, message] : table) {
        CAPTURE(stored);
        auto read = verify_bundle(stored, {}, 1);
        REQUIRE_FALSE(succeeded(read));
        std::string found = error_of(read).message;
        CAPTURE(found);
        CHECK(found.find(message) == 0);
    }
}

TEST_CASE("frame, bad bytes, refused by the verifier")
{
    std::string good = good_frame();
    REQUIRE(succeeded(decode_frame(good)));
    wire::frame_message no_payload;
    std::string empty = encode_frame(no_payload).substr(frame_prefix_bytes);
    std::string wild = good;
    wild[0] = '\x7f';
    const std::vector<bad_frame> table{
        {"no bytes", "", "frame: does not pass the verifier"},
        {"one byte", "x", "frame: does not pass the verifier"},
        {"noise", "nonsense and more nonsense", "frame: does not pass the verifier"},
        {"cut to half", good.substr(0, good.size() / 2), "frame: does not pass the verifier"},
        {"root beyond the end", wild, "frame: does not pass the verifier"},
        {"no payload", empty, "frame: no payload"},
    };
    for (const bad_frame &it : table) {
        CAPTURE(std::string(it.name));
        auto read = decode_frame(it.bytes);
        REQUIRE_FALSE(succeeded(read));
        CHECK(error_of(read).code == error_code::bad_syntax);
        CHECK(error_of(read).message == it.message);
    }
    auto length = decode_prefix(std::string_view("\x01\x00\x00\x02", frame_prefix_bytes));
    REQUIRE_FALSE(succeeded(length));
    CHECK(error_of(length).message == "frame: found 33554433 bytes, allowed are 33554432");
}
