#include "platform/LineProtocol.h"
#include "platform/JsonDeclarationDecoder.h"

#include <gtest/gtest.h>
#include <random>

namespace foxtail::platform {

namespace {

    CallerMessage parseSingleMessage(const std::string& text)
    {
        std::string_view bytes = text;
        const std::optional<CallerMessage> message = LineCallerCodec().parseMessage(bytes);
        EXPECT_TRUE(message.has_value());
        EXPECT_TRUE(bytes.empty());
        return message.value_or(CallerMessage {});
    }

    TEST(LineProtocolTest, ParsesCallerMessages)
    {
        const CallerMessage start = parseSingleMessage("START db key\r\n");
        EXPECT_EQ(start.kind, CallerMessageKind::Start);
        EXPECT_EQ(start.database, "db");
        EXPECT_EQ(start.key, "key");
        const CallerMessage write = parseSingleMessage("QUERY id1 WRITE item some data\r\n");
        EXPECT_EQ(write.kind, CallerMessageKind::Query);
        EXPECT_EQ(write.requestId, "id1");
        EXPECT_EQ(write.statement.kind, StatementKind::Write);
        EXPECT_EQ(write.statement.text, "WRITE item some data");
        const CallerMessage prepare = parseSingleMessage("QUERY id2 PREPARE s WRITE the template\r\n");
        EXPECT_EQ(prepare.statement.kind, StatementKind::Prepare);
        EXPECT_TRUE(prepare.statement.isWrite);
        EXPECT_EQ(prepare.statement.argument, "the template");
        EXPECT_EQ(parseSingleMessage("TERMINATE\r\n").kind, CallerMessageKind::Terminate);
    }

    // Guards against a caller that passes commands or required positions, which only this VM may send, through to a backend server.
    TEST(LineProtocolTest, RejectsMalformedAndReservedStatements)
    {
        for (const char* text : { "STATUS", "PAUSE 3", "RESUME", "DEMOTE 4", "RESET", "AFTER 1.2 READ x", "AFTER 1.2 BEGIN READ",
                 "BEGIN WRITE", "COMMIT now", "READ", "WRITE", "PREPARE s", "PREPARE s BOTH x", "EXECUTE s", "CLOSE", "SET", "" })
            EXPECT_EQ(parseStatement(text).kind, StatementKind::Malformed) << text;
        EXPECT_EQ(parseSingleMessage("QUERY - READ x\r\n").kind, CallerMessageKind::Malformed);
        // A lone line feed or carriage return could end the line early at a backend server.
        EXPECT_EQ(parseSingleMessage("QUERY a READ x\nQUERY b WRITE y 1\r\n").kind, CallerMessageKind::Malformed);
        EXPECT_EQ(parseSingleMessage("QUERY a READ x\rY\r\n").kind, CallerMessageKind::Malformed);
    }

    TEST(LineProtocolTest, ReportsMessageOverTheSizeLimitAsTooLarge)
    {
        std::string text((size_t { 1 } << 20) + 1, 'x');
        std::string_view bytes = text;
        EXPECT_EQ(LineCallerCodec().parseMessage(bytes)->kind, CallerMessageKind::TooLarge);
        const std::string incomplete = "QUERY a READ x";
        bytes = incomplete;
        EXPECT_FALSE(LineCallerCodec().parseMessage(bytes));
    }

    // Guards against an error word that promises that a statement had no effect while its error kind does not guarantee that.
    TEST(LineProtocolTest, PromisesNoEffectOnlyForErrorsThatDidNotRun)
    {
        constexpr std::array<std::string_view, 6> wordsThatPromiseNoEffect { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED",
            "TOOMANY" };
        for (uint8_t index = 0; index <= static_cast<uint8_t>(ErrorKind::StatementTimedOut); ++index) {
            const auto kind = static_cast<ErrorKind>(index);
            std::string out;
            LineCallerCodec().writeError(out, kind, "text");
            const std::string word = out.substr(6, out.find(' ', 6) - 6);
            const bool promisesNoEffect
                = std::find(wordsThatPromiseNoEffect.begin(), wordsThatPromiseNoEffect.end(), word) != wordsThatPromiseNoEffect.end();
            if (promisesNoEffect)
                EXPECT_EQ(errorKindProperties(kind).ran, HasRun::No) << errorKindProperties(kind).name;
        }
    }

    TEST(LineProtocolTest, ParsesBackendMessages)
    {
        const LineBackendCodec codec;
        std::string_view bytes = "ROW a b\r\nDONE d.1\r\nREADY T 3.1209\r\nERROR LAGGING text here\r\nREADY I -\r\nJUNK\r\n";
        EXPECT_EQ(codec.parseMessage(bytes)->text, "a b");
        EXPECT_EQ(codec.parseMessage(bytes)->kind, BackendMessageKind::Done);
        const auto ready = codec.parseMessage(bytes);
        EXPECT_EQ(ready->transactionState, TransactionState::Open);
        EXPECT_EQ(ready->position, (LogPoint { Term { 3 }, Position { 1209 } }));
        EXPECT_EQ(codec.parseMessage(bytes)->errorCode, BackendErrorCode::Lagging);
        EXPECT_FALSE(codec.parseMessage(bytes)->position);
        EXPECT_EQ(codec.parseMessage(bytes)->kind, BackendMessageKind::Malformed);
        const auto status = codec.parseStatus("replica 3 3.1209 4 12 2 17");
        ASSERT_TRUE(status);
        EXPECT_FALSE(status->isPrimary);
        EXPECT_EQ(status->pausedForTerm, Term { 4 });
        EXPECT_EQ(status->receivedLogPoint.position, Position { 1209 });
        EXPECT_FALSE(codec.parseStatus("leader 3 3.1 0"));
        EXPECT_FALSE(codec.parseStatus("replica three 3.1 0"));
    }

    // Guards against input on which the parsers crash, read beyond its end or never stop: random bytes and random changes of valid
    // messages. Each round uses its number as the seed.
    TEST(LineProtocolTest, ParsesOrRejectsArbitraryBytes)
    {
        constexpr std::string_view alphabet = "STARQUEYDON READYWI.T-PXC019\r\n\x00\xff";
        const std::string valid = "START a b\r\nQUERY 1 READ x\r\nQUERY 2 EXECUTE s x y\r\nREADY I 1.2\r\nDONE -\r\nERROR BUSY x\r\n";
        for (uint32_t seed = 0; seed < 20'000; ++seed) {
            std::mt19937 random(seed);
            std::string text = seed % 2 == 0 ? valid : std::string();
            for (int change = 0; change < 40; ++change) {
                const char character = alphabet[random() % alphabet.size()];
                if (text.empty() || random() % 3 == 0)
                    text.insert(text.begin() + static_cast<std::ptrdiff_t>(text.empty() ? 0 : random() % text.size()), character);
                else
                    text[random() % text.size()] = character;
            }
            std::string_view bytes = text;
            size_t messageCount = 0;
            while (LineCallerCodec().parseMessage(bytes))
                ASSERT_LE(++messageCount, text.size());
            bytes = text;
            messageCount = 0;
            while (LineBackendCodec().parseMessage(bytes))
                ASSERT_LE(++messageCount, text.size());
            LineBackendCodec().parseStatus(text);
        }
    }

    // Guards against entries of other writers that would be accepted as a server although a field is missing or invalid.
    TEST(JsonDeclarationDecoderTest, RejectsMalformedServerEntries)
    {
        const JsonDeclarationDecoder decoder;
        const std::string validEntry
            = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":3,"state":"ready","db_role":"replica","seq":4,"born":17})";
        const Result<ServerEntry> entry = decoder.decodeServer("b1", validEntry);
        ASSERT_TRUE(entry);
        EXPECT_EQ(entry.value().port, 80);
        EXPECT_EQ(entry.value().startedAtMs, 17);
        const std::vector<std::pair<std::string, std::string>> changes { { R"("s")", "5" }, { "10.0.0.1:80", "10.0.0.1" },
            { "10.0.0.1:80", "10.0.0.1:99999" }, { "ready", "resting" }, { "replica", "leader" }, { "\"slots\":3", "\"slots\":\"3\"" },
            { "\"seq\":4", "\"sequence\":4" }, { "\"born\":17", "\"born\":1.5" }, { "{", "[" }, { "\"zone\":\"z\",", "" } };
        for (const auto& [from, to] : changes) {
            std::string malformedEntry = validEntry;
            malformedEntry.replace(malformedEntry.find(from), from.size(), to);
            EXPECT_FALSE(decoder.decodeServer("b1", malformedEntry)) << malformedEntry;
        }
        EXPECT_FALSE(decoder.decodeServer("b1", "\xff\x00"));
    }

    // Guards against homes and evacuations that are not known, and against rows of other kinds that are taken for evacuations.
    TEST(JsonDeclarationDecoderTest, DecodesHomesAndEvacuations)
    {
        const JsonDeclarationDecoder decoder;
        EXPECT_EQ(decoder.evacuatedDataCentre("evacuate/north-1"), DataCentre("north-1"));
        for (const char* key : { "config", "evacuate", "evacuate/", "", "evacuated/north-1" })
            EXPECT_FALSE(decoder.evacuatedDataCentre(key)) << key;
        const Result<RouteTable> table = decoder.decodeConfiguration(
            R"({"version":3,"routes":[{"host":"d1","service":"s","type":"primary","allowed_regions":["upper","lower"]},)"
            R"({"host":"d2","service":"s","type":"primary","allowed_regions":[]},{"host":"d3","service":"s","type":"primary"},)"
            R"({"host":"d4","service":"s","type":"primary","allowed_regions":[7]}],)"
            R"("tenants":[{"name":"o","api_keys":[],"allowed_regions":["upper"]}]})");
        ASSERT_TRUE(table);
        EXPECT_EQ(table.value().findRoute("d1")->allowedRegions, (std::vector { Region("upper"), Region("lower") }));
        EXPECT_TRUE(table.value().findRoute("d2")->allowedRegions.empty());
        EXPECT_TRUE(table.value().findRoute("d3")->allowedRegions.empty());
        // A name that cannot be read does not lift the restriction.
        EXPECT_EQ(table.value().findRoute("d4")->allowedRegions.size(), 1U);
        EXPECT_EQ(table.value().organisations.front().allowedRegions, std::vector { Region("upper") });
    }

    // Guards against FAILBACK: how long a server stays cold and the limit of its service were not read.
    TEST(JsonDeclarationDecoderTest, DecodesColdServers)
    {
        const JsonDeclarationDecoder decoder;
        const std::string entry = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":3,"state":"ready","db_role":"replica","seq":4)";
        EXPECT_EQ(decoder.decodeServer("b1", entry + R"(,"cold_left_ms":1500})").value().coldFor, std::chrono::milliseconds(1500));
        EXPECT_EQ(decoder.decodeServer("b1", entry + "}").value().coldFor, Duration(0));
        EXPECT_EQ(decoder.decodeServer("b1", entry + R"(,"cold_left_ms":"x"})").value().coldFor, Duration(0));
        const Result<RouteTable> table = decoder.decodeConfiguration(
            R"({"version":3,"services":[{"name":"s","cold_per_s":12.5},{"name":"t","cold_per_s":-1},{"name":"u"}]})");
        ASSERT_TRUE(table);
        EXPECT_EQ(table.value().groups.at("s").coldStatementsPerSecond, 12.5);
        EXPECT_EQ(table.value().groups.at("t").coldStatementsPerSecond, 0);
        EXPECT_EQ(table.value().groups.at("u").coldStatementsPerSecond, 0);
    }

    TEST(JsonDeclarationDecoderTest, DecodesRoutesGroupsAndKeys)
    {
        const Result<RouteTable> table = JsonDeclarationDecoder().decodeConfiguration(
            R"({"version":7,"routes":[{"host":"h1","service":"s","type":"bounded_staleness","timeout_ms":2000,"objective_ms":800,"priority":2,"max_staleness_ms":1500,"public":true},{"host":"h2","service":"s","type":"odd"}],"services":[{"name":"s","max_conns":22,"sync_replicas":1}],"limits":{"tx_idle_ms":3000},"tenants":[{"name":"t","api_keys":["secret"],"rate_per_s":132,"burst":13}]})");
        ASSERT_TRUE(table);
        EXPECT_EQ(table.value().version, 7U);
        ASSERT_NE(table.value().findRoute("h1"), nullptr);
        EXPECT_TRUE(table.value().findRoute("h1")->isOpenAccess);
        EXPECT_EQ(table.value().findRoute("h1")->maxStaleness, std::chrono::milliseconds(1500));
        EXPECT_EQ(table.value().findRoute("h2"), nullptr);
        EXPECT_EQ(table.value().groups.at("s").maxConnections, 22U);
        EXPECT_EQ(table.value().transactionIdleTimeout, std::chrono::seconds(3));
        ASSERT_EQ(table.value().organisationIndexByKeyDigest.size(), 1U);
        // Keys are stored as digests only.
        EXPECT_EQ(table.value().organisationIndexByKeyDigest.begin()->first.size(), 64U);
        EXPECT_FALSE(JsonDeclarationDecoder().decodeConfiguration("{}"));
    }

}

}
