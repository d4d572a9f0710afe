#include "foxtailtrail/commands/CommandEvaluator.h"
#include "foxtailtrail/commands/CommandGrammar.h"
#include "foxtailtrail/commands/QueryEvaluator.h"
#include "tests/config/SampleConfiguration.h"

#include <gtest/gtest.h>
#include <random>

namespace foxtail {

FleetSnapshot sampleSnapshot()
{
    FleetSnapshot snapshot;
    snapshot.configuration = std::make_shared<const Configuration>(sampleConfiguration(4));
    snapshot.organisations = { { OrganisationId("wattle"), 900, 30 }, { OrganisationId("wislomar"), 50, 40 } };
    snapshot.databases = { { DatabaseId("bookings"), Term { 3 }, BackendServerId("b1"), 2, 5 } };
    snapshot.servers = { { BackendServerId("b2"), "replica", true, Position { 90 }, 10 } };
    snapshot.vms = { { VmId("vm1"), Region("seq"), DataCentre("brisbane"), 4, "serving" } };
    return snapshot;
}

// Runs a query on the sample snapshot. Returns the table as JSON, or the message of the syntax error.
std::string runQuery(const std::string& text)
{
    const CommandParseResult parsed = parseCommand(text);
    if (parsed.has_error())
        return parsed.error().message();
    return renderJson(evaluateQuery(std::get<Query>(parsed.value()), sampleSnapshot()));
}

// Applies a change command to the sample configuration. Returns the new document, or the error with its suggestions.
Result<Configuration> applyCommand(const std::string& text, std::string* keyText = nullptr)
{
    const CommandParseResult parsed = parseCommand(text);
    if (parsed.has_error())
        return fail(ErrorKind::CommandInvalid, parsed.error().message());
    const auto& command = std::get<ChangeCommand>(parsed.value());
    const Configuration baseConfiguration = sampleConfiguration(4);
    const EvaluatedChange evaluated = evaluateChange(command, baseConfiguration, { "c5", "bea", {} });
    if (keyText)
        *keyText = evaluated.keyText;
    Result<Configuration> applied = applyChange(baseConfiguration, evaluated.change);
    if (applied.has_error())
        return boost::outcome_v2::failure(withSuggestion(applied.error(), command, baseConfiguration));
    return applied;
}

struct Example {
    std::string commandText;
    std::string expected;
};

std::ostream& operator<<(std::ostream& stream, const Example& example) { return stream << example.commandText; }

class QueryTest : public testing::TestWithParam<Example> { };

// Guards against conditions, orderings and limits that select the wrong rows.
TEST_P(QueryTest, ShowsExpectedRows) { EXPECT_EQ(runQuery(GetParam().commandText), GetParam().expected); }

const std::string keyColumns = R"({"columns":["key","organisation","state"],"rows":)";
const std::string organisationColumns = R"({"columns":["organisation","rate","burst","admitted","refused"],"rows":)";
const std::string wattleRow = R"(["wattle",200,1.005E2,900,30])";
const std::string wislomarRow = R"(["wislomar",200,1.005E2,50,40])";

INSTANTIATE_TEST_SUITE_P(Queries, QueryTest,
    testing::Values(Example { "show organisations where rate > 100 order by refused desc limit 2",
                        organisationColumns + "[" + wislomarRow + "," + wattleRow + "]}" },
        Example { "  show organisations where admitted >= 900 and organisation like w%e", organisationColumns + "[" + wattleRow + "]}" },
        Example { "show organisations where organisation contains \"islo\" and rate != 1", organisationColumns + "[" + wislomarRow + "]}" },
        Example { "show organisations where rate < 200", organisationColumns + "[]}" },
        Example { "show keys where organisation = \"wattle\"", keyColumns + R"([["k1","wattle","valid"]]})" },
        Example { "show keys limit 0", keyColumns + "[]}" },
        Example { "show servers where draining = yes and lag <= 10",
            R"({"columns":["server","database","address","region","datacentre","draining","role","reachable","position","lag"],)"
            R"("rows":[["b2","bookings","[::1]:5002","fnq","cairns","yes","replica","yes",90,10]]})" },
        Example { "show databases where queue = 5",
            R"({"columns":["database","term","primary","lag","servers","slots","connections","used","queue"],)"
            R"("rows":[["bookings",3,"b1",10,2,3,20,2,5]]})" },
        Example {
            "show vms", R"({"columns":["vm","region","datacentre","version","state"],"rows":[["vm1","seq","brisbane",4,"serving"]]})" },
        Example { "show services order by service asc limit 1",
            R"({"columns":["service","database","access","organisations"],"rows":[["booking","bookings","keyed","wattle"]]})" },
        Example { "show witnesses where vm = vm3", R"({"columns":["vm","address","list"],"rows":[["vm3","127.0.0.1:9000","current"]]})" },
        Example { "show configuration where item = author", R"({"columns":["item","value"],"rows":[["author","ada"]]})" }));

class InvalidCommandTest : public testing::TestWithParam<Example> { };

// Guards against an error without the column, without what is expected there, or with a wrong suggestion.
TEST_P(InvalidCommandTest, ReportsColumnExpectationAndSuggestion)
{
    const Result<Configuration> result = applyCommand(GetParam().commandText);
    ASSERT_TRUE(result.has_error());
    EXPECT_EQ(result.error().detail, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(InvalidCommands, InvalidCommandTest,
    testing::Values(Example { "show organisation",
                        "column 6: expected organisations, databases, servers, services, keys, vms, witnesses or configuration (did you "
                        "mean \"organisations\"?)" },
        Example { "show keys where organistion = x", "column 17: expected key, organisation or state (did you mean \"organisation\"?)" },
        Example { "show keys where key > \"\xC5\x82\" zzz", "column 27: expected and, order, limit or the end of the command" },
        Example { "show organisations where rate like 5", "column 31: expected !=, <=, >=, =, < or >" },
        Example { "show keys where key", "column 20: expected !=, <=, >=, =, <, >, like or contains" },
        Example { "show organisations where rate = fast", "column 33: expected a number" },
        Example { "declare organisation wattle2 rate -1 burst 5", "column 35: expected a number of requests per second" },
        Example { "declare server b9 in bookings at localhost:1 region seq data centre brisbane",
            "column 34: expected an address such as 127.0.0.1:5001" },
        Example { "declare service x on bookings keyed for wattle,", "column 48: expected the name of an organisation" },
        Example { "withdraw kay k1", "column 10: expected key (did you mean \"key\"?)" },
        Example { "drain server b1 if version", "column 27: expected a version" },
        Example { "drain server b1 if version 3", "the version is 4, made by ada" },
        Example { "change organisation watle rate 5", "there is no organisation watle (did you mean \"wattle\"?)" },
        Example { "issue key for wislomr", "key k2: there is no organisation wislomr (did you mean \"wislomar\"?)" },
        Example { "declare service x on bokings open as public", "service x: there is no database bokings (did you mean \"bookings\"?)" }));

class ChangeTest : public testing::TestWithParam<Example> { };

// Guards against a command that changes the wrong part of the document. The expected text must be in the new document, or must not be
// there if it starts with '!'.
TEST_P(ChangeTest, ChangesDocument)
{
    const Result<Configuration> result = applyCommand(GetParam().commandText);
    ASSERT_TRUE(result.has_value()) << result.error().detail;
    const std::string document = serializeConfiguration(result.value());
    if (GetParam().expected.starts_with('!')) {
        EXPECT_EQ(document.find(GetParam().expected.substr(1)), std::string::npos) << document;
    } else {
        EXPECT_NE(document.find(GetParam().expected), std::string::npos) << document;
    }
}

INSTANTIATE_TEST_SUITE_P(Changes, ChangeTest,
    testing::Values(Example { "declare organisation acacia rate 200 burst 100", R"({"id":"acacia","rate":2E2,"burst":1E2})" },
        Example { "declare database talks slots 3 connections 20", R"({"id":"talks","slots":3,"connections":20,"servers":[]})" },
        Example { "declare server b3 in bookings at 127.0.0.1:5003 region seq data centre brisbane if version 4",
            R"({"id":"b3","address":"127.0.0.1","port":5003,"region":"seq","dataCentre":"brisbane","draining":false})" },
        Example { "declare service checkin on bookings keyed for wattle, wislomar",
            R"({"name":"checkin","database":"bookings","access":"keyed","organisations":["wattle","wislomar"],"openOrganisation":""})" },
        Example { "declare service talks on bookings open as public",
            R"({"name":"talks","database":"bookings","access":"open","organisations":[],"openOrganisation":"public"})" },
        Example { "change service booking on bookings keyed", R"("access":"keyed","organisations":[],"openOrganisation":"")" },
        Example { "change organisation wattle rate 300", R"({"id":"wattle","rate":3E2,"burst":1.005E2})" },
        Example { "change database bookings connections 30", R"("slots":3,"connections":30)" },
        Example { "change server b1 at [::1]:7", R"({"id":"b1","address":"::1","port":7,)" },
        Example { "remove service info", R"(!"info")" }, Example { "remove server b2", R"(!"b2")" },
        Example { "withdraw key k1", R"("withdrawn":true)" }, Example { "drain server b1", R"("dataCentre":"brisbane","draining":true)" },
        Example { "undrain server b2", R"("dataCentre":"cairns","draining":false)" },
        Example { "add witness vm4 at 127.0.0.1:9004", R"({"id":"vm4","address":"127.0.0.1","peerPort":9004})" },
        Example { "replace witness vm1 with vm4 at 127.0.0.1:9004", R"("witnesses":[{"id":"vm2")" },
        Example { "remove witness vm1", R"("witnesses":[{"id":"vm2")" }));

// Guards against an issued key that does not authenticate, and against secrets in the document or in the tables shown to operators.
TEST(CommandTest, IssuedKeyAuthenticatesAndIsNotShownAgain)
{
    std::string keyText;
    const Configuration document = applyCommand("issue key for wislomar", &keyText).value();
    EXPECT_EQ(KeyTable(document).authenticate(keyText).value(), OrganisationId("wislomar"));
    EXPECT_EQ(serializeConfiguration(document).find(keyText.substr(7)), std::string::npos);
    EXPECT_EQ(runQuery("show keys").find(sampleKey().key.digest), std::string::npos);
    EXPECT_EQ(runQuery("show configuration").find(sampleConfiguration().fleetSecret), std::string::npos);
}

// Guards against parsing the commands stop, help or initialize as a different command.
TEST(CommandTest, ParsesStopHelpAndInitialize)
{
    EXPECT_EQ(std::get<StopVmCommand>(parseCommand("stop vm vm3").value()).vm, VmId("vm3"));
    EXPECT_TRUE(std::holds_alternative<HelpCommand>(parseCommand("help").value()));
    const CommandParseResult initialize = parseCommand("initialize fleet");
    const EvaluatedChange evaluated = evaluateChange(std::get<ChangeCommand>(initialize.value()), {}, { "c1", "bea", {} });
    EXPECT_EQ(applyChange({}, evaluated.change).value().version, 1U);
}

// Guards against misaligned columns when a text contains non-ASCII characters.
TEST(TableTest, AlignsColumnsOfNonAsciiText)
{
    Table table { { { "name", ColumnKind::Text }, { "count", ColumnKind::Number } }, {} };
    table.addRow({ std::string("wis\xC5\x82omar"), 7.0 });
    table.addRow({ std::string("x"), 1234.5 });
    EXPECT_EQ(renderText(table), "name       count\nwis\xC5\x82omar       7\nx         1234.5\n");
}

// Guards against input that terminates the process, and against an error without expectations or with a column outside the text.
TEST(CommandTest, ReportsColumnWithinTextForRandomAndDamagedText)
{
    const std::vector<std::string> seeds { "show organisations where rate > 100 order by refused desc limit 5",
        "declare server b1 in bookings at 127.0.0.1:5001 region seq data centre brisbane",
        "declare service booking on bookings keyed for wattle, wislomar if version 12",
        "show keys where key like \"k%\" and state = valid" };
    std::mt19937_64 random(20261204);
    size_t errorCount = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string text = round % 4 == 0 ? std::string(random() % 40, ' ') : seeds[random() % seeds.size()];
        const size_t edits = round % 4 == 0 ? text.size() : random() % 4;
        for (size_t edit = 0; edit < edits && !text.empty(); ++edit) {
            const size_t position = random() % text.size();
            if (random() % 3 == 0) {
                text.erase(position, random() % 9);
                continue;
            }
            text[position] = static_cast<char>(random());
        }
        const CommandParseResult parsed = parseCommand(text);
        if (parsed.has_value())
            continue;
        ++errorCount;
        EXPECT_GE(parsed.error().column, 1U);
        EXPECT_LE(parsed.error().column, text.size() + 1) << text;
        EXPECT_FALSE(parsed.error().expected.empty()) << text;
    }
    EXPECT_GT(errorCount, 10000U);
    EXPECT_EQ(parseCommand(std::string(5000, ' ')).error().column, 4097U);
}

}
