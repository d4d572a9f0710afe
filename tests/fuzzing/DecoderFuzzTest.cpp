#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/ChangeExchange.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/proxy/GroupUpdateCodec.h"
#include "foxtailtrail/proxy/ProxySettings.h"
#include "foxtailtrail/proxy/RelayFrame.h"
#include "foxtailtrail/server/Log.h"
#include "platform/JsonDeclarationDecoder.h"
#include "platform/LineProtocol.h"
#include "platform/RowReply.h"
#include "tests/fuzzing/Mutator.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace foxtail {

namespace {

    // The number of inputs of each decoder. FOXTAIL_FUZZ_INPUTS and FOXTAIL_FUZZ_SEED set another number and another seed.
    size_t inputCount(size_t defaultCount)
    {
        const char* text = std::getenv("FOXTAIL_FUZZ_INPUTS");
        return text ? std::strtoull(text, nullptr, 10) : defaultCount;
    }

    uint32_t seed()
    {
        const char* text = std::getenv("FOXTAIL_FUZZ_SEED");
        return text ? static_cast<uint32_t>(std::strtoul(text, nullptr, 10)) : 1;
    }

    constexpr size_t shortRunInputs = 30'000;
    // Settings are read from a file, which takes longer.
    constexpr size_t shortRunFiles = 2'000;

    class DecoderFuzzTest : public testing::Test {
    protected:
        void SetUp() override { setLogLevel(LogLevel::Error); }

        // Calls the decoder with each input. An exception that leaves the decoder, or a failed check, is reported with its input.
        template <typename Decoder>
        void fuzz(const std::vector<std::string>& validMessages, const Decoder& decode, size_t defaultCount = shortRunInputs)
        {
            Mutator mutator(seed(), validMessages);
            const size_t count = inputCount(defaultCount);
            for (size_t index = 0; index < count && !this->HasFailure(); ++index) {
                const std::string input = mutator.next();
                try {
                    decode(input);
                } catch (const std::exception& error) {
                    ADD_FAILURE() << "exception: " << error.what();
                }
                if (this->HasFailure())
                    ADD_FAILURE() << "input " << index << ": " << testing::PrintToString(input);
            }
        }
    };

    // Guards against a caller that ends the VM's process, or whose message reaches a backend server as more than one line or as a command
    // that only VMs send.
    TEST_F(DecoderFuzzTest, CallerMessages)
    {
        const platform::LineCallerCodec codec;
        this->fuzz(
            { "START db key\r\nQUERY 1 READ a\r\n", "QUERY id BEGIN READ\r\nQUERY id WRITE item some data\r\nQUERY i COMMIT\r\n",
                "QUERY a SET name value\r\nQUERY b PREPARE s WRITE shape\r\nQUERY c EXECUTE s 1 2\r\nQUERY d CLOSE s\r\nTERMINATE\r\n",
                "QUERY - STATUS\r\nQUERY 1 AFTER 3.4 READ x\r\nQUERY 2 PAUSE 4\r\n" },
            [&](const std::string& input) {
                std::string_view bytes = input;
                while (true) {
                    const size_t sizeBefore = bytes.size();
                    const std::optional<CallerMessage> message = codec.parseMessage(bytes);
                    if (!message)
                        break;
                    ASSERT_LT(bytes.size(), sizeBefore);
                    if (message->kind != CallerMessageKind::Query || message->statement.kind == StatementKind::Malformed)
                        continue;
                    const std::string text(message->statement.text);
                    EXPECT_EQ(text.find_first_of("\r\n"), std::string::npos);
                    for (const char* word : { "STATUS", "PAUSE", "RESUME", "DEMOTE", "RESET", "AFTER" })
                        EXPECT_FALSE(text.starts_with(word));
                }
            });
    }

    // Guards against a backend server that ends the process of every VM that it answers.
    TEST_F(DecoderFuzzTest, BackendMessages)
    {
        const platform::LineBackendCodec codec;
        this->fuzz({ "READY I -\r\n", "ROW a b\r\nDONE 7.1f3.c\r\nREADY T 3.1209\r\n", "ERROR READONLY i-7f\r\nREADY E 3.1209\r\n",
                       "ROW replica 3 3.1209 0 12 2 17\r\nDONE -\r\nREADY I 3.1204\r\n", "ROW primary 18 18.99 0 0 0 1\r\n" },
            [&](const std::string& input) {
                std::string_view bytes = input;
                while (true) {
                    const size_t sizeBefore = bytes.size();
                    const std::optional<BackendMessage> message = codec.parseMessage(bytes);
                    if (!message)
                        break;
                    ASSERT_LT(bytes.size(), sizeBefore);
                    if (message->kind == BackendMessageKind::Row)
                        (void)codec.parseStatus(message->text);
                }
            });
    }

    // Guards against an entry of another writer that ends the process of every VM that reads the list of servers.
    TEST_F(DecoderFuzzTest, ServerEntries)
    {
        const platform::JsonDeclarationDecoder decoder;
        this->fuzz(
            { R"({"service":"s","addr":"127.0.0.1:5000","zone":"z1","version":"1.2","slots":8,"state":"ready","cold_left_ms":0,"seq":17,)"
              R"("db_role":"primary","born":1765000000000})",
                R"({"service":"s","addr":"[::1]:65535","zone":"z1","slots":1,"state":"draining","seq":0,"db_role":"replica"})" },
            [&](const std::string& input) {
                const Result<ServerEntry> entry = decoder.decodeServer("b1", input);
                if (entry) {
                    EXPECT_GE(entry.value().slots, 1U);
                    EXPECT_NE(entry.value().port, 0);
                    EXPECT_GE(entry.value().startedAtMs, 0);
                }
            });
    }

    // Guards against a start time beyond the range of 64-bit signed integers: its conversion threw an exception in the fiber that reads the
    // list of servers.
    TEST(ServerEntryTest, RefusesStartTimeOutOfRange)
    {
        const auto decode = [](const std::string& startTime) {
            return platform::JsonDeclarationDecoder().decodeServer("b1",
                R"({"service":"s","addr":"127.0.0.1:5000","zone":"z1","slots":8,"state":"ready","seq":1,"db_role":"replica","born":)"
                    + startTime + "}");
        };
        EXPECT_TRUE(decode("9223372036854775807"));
        EXPECT_FALSE(decode("18446744073709551615"));
        EXPECT_FALSE(decode("-1"));
        EXPECT_FALSE(decode("1.5"));
    }

    TEST_F(DecoderFuzzTest, Configurations)
    {
        const platform::JsonDeclarationDecoder decoder;
        this->fuzz(
            { R"({"version":7,"routes":[{"host":"db","service":"s","type":"primary","timeout_ms":400,"objective_ms":200,"priority":0},)"
              R"({"host":"e","service":"s","type":"bounded_staleness","max_staleness_ms":900,"public":true}],)"
              R"("services":[{"name":"s","max_conns":20,"sync_replicas":1}],"limits":{"tx_idle_ms":3000},)"
              R"("tenants":[{"name":"o","rate_per_s":12.5,"burst":30,"api_keys":["k1","k2"]}]})" },
            [&](const std::string& input) { (void)decoder.decodeConfiguration(input); });
    }

    // Guards against a reply of the store that ends the process of a VM.
    TEST_F(DecoderFuzzTest, StoreReplies)
    {
        this->fuzz({ R"({"ver":12,"now_ms":5000,"has_more":true,"rows":[{"table":"servers","part":"","key":"a","ver":3,"value":"YWJj"}]})",
                       R"({"ver":9007199254740993,"rows":[{"key":"a","ver":1,"tombstone":true},{"key":"b","ver":2,"value":"YQ=="}]})" },
            [&](const std::string& input) {
                const Result<platform::RowReply> reply = platform::decodeRowReply(input, 1);
                if (reply)
                    EXPECT_GE(reply.value().set.storeTimeMs, 0);
            });
    }

    // Guards against a VM or a foreign process that ends the process of a relay.
    TEST_F(DecoderFuzzTest, RelayFrames)
    {
        std::vector<std::string> frames(6);
        const RelayRequest request { BackendServerId("b1"), "organisation", 1, 400, 250, true };
        writeRelayOpen(frames[0], 7, request, 2, "QUERY 1 READ a\r\nQUERY 2 READ b\r\n");
        writeRelayStatements(frames[1], 7, 1, "QUERY 1 COMMIT\r\n");
        writeRelayRelease(frames[2], 7, true);
        writeRelayDenied(frames[3], 7, AcquireOutcome::Exhausted, 35);
        writeRelayAnswer(frames[4], 7, "DONE -\r\nREADY I 3.4\r\n");
        writeRelaySignal(frames[5], RelayFrameKind::Ping, 0);
        frames.push_back(frames[0] + frames[1] + frames[2]);
        const ServerLoad load { 7, 300, 6, std::chrono::milliseconds(28) };
        frames.emplace_back();
        writeRelayDenied(frames.back(), 7, AcquireOutcome::Exhausted, 35, load);
        frames.emplace_back();
        writeRelayAnswer(frames.back(), 7, "DONE -\r\nREADY I 3.4\r\n", load);
        frames.emplace_back();
        writeRelayLoads(frames.back(), 7, { { 1, std::chrono::milliseconds(250), load }, { 2, std::chrono::milliseconds(20), load } });
        this->fuzz(frames, [](const std::string& input) {
            std::string_view bytes = input;
            RelayFrame frame;
            while (true) {
                const size_t sizeBefore = bytes.size();
                if (readRelayFrame(bytes, frame) != RelayReadResult::Complete)
                    break;
                ASSERT_LT(bytes.size(), sizeBefore);
                EXPECT_LE(frame.bytes.size(), input.size());
            }
        });
    }

    // Guards against a datagram whose times overflow: a lease that was renewed in the far future would never expire.
    TEST_F(DecoderFuzzTest, GroupUpdates)
    {
        const TimePoint reference = bootNow();
        this->fuzz({ R"([["s","b1",3,-20,3,1207,-25]])", R"([["s","b1",3,-20,3,1207,-25],["t","b2",4,0,4,0,-1]])" },
            [&](const std::string& input) {
                const Result<json::value> parsed = parseJson(input);
                if (!parsed || !parsed.value().is_array())
                    return;
                for (const GroupUpdate& update : decodeGroupUpdates(parsed.value().get_array(), reference)) {
                    EXPECT_LE(update.leaseRenewedAt, reference + std::chrono::minutes(1));
                    EXPECT_LE(update.sampledAt, reference + std::chrono::minutes(1));
                    EXPECT_GE(update.leaseRenewedAt, reference - std::chrono::hours(24));
                    EXPECT_GE(update.sampledAt, reference - std::chrono::hours(24));
                }
            });
    }

    TEST_F(DecoderFuzzTest, FleetRows)
    {
        const PeerEntry peer { VmId("v1"), { "127.0.0.1", 9000 }, 9001, 9002, DataCentre("z1"), 0.5 };
        const PromotionLockRecord lock { VmId("v1"), 7, 1'765'000'000'000 };
        this->fuzz(
            { encodePeer(peer), encodePrimary({ ServiceName("s"), Term { 4 }, BackendServerId("b1"), true }), encodePromotionLock(lock) },
            [](const std::string& input) {
                const std::optional<PeerEntry> entry = decodePeer("vm/v1", input);
                if (entry) {
                    EXPECT_EQ(entry, decodePeer("vm/v1", encodePeer(*entry)));
                }
                (void)decodePrimary("leader/s", input);
                const std::optional<PromotionLockRecord> decoded = decodePromotionLock(promotionLockRowKey(0), input);
                if (decoded) {
                    EXPECT_GE(decoded->endsAtMs, 0);
                }
            });
    }

    TEST_F(DecoderFuzzTest, RequestsForChanges)
    {
        ChangeExchange exchange;
        RowSet rows;
        // The newest version is above those of all requests, so that none of them waits for changes.
        rows.version = { 0, UINT64_MAX };
        rows.rows.push_back({ "key", "value", { 0, 5 }, false });
        exchange.recordList(StoreTable::Servers, RowSet {});
        exchange.recordChanges(StoreTable::Servers, {}, rows);
        Mutator mutator(seed(), { "declarations", "servers", "fleet", "0", "17", "2500", "18446744073709551614" });
        const size_t count = inputCount(shortRunInputs);
        for (size_t index = 0; index < count; ++index) {
            HttpRequest request;
            request.method = "GET";
            request.target = "/changes";
            const auto valueOr = [&](const char* valid) { return mutator.below(3) == 0 ? mutator.next() : std::string(valid); };
            request.headers = { { "Foxtail-Table", valueOr("servers") }, { "Foxtail-After", valueOr("3") },
                { "Foxtail-Wait-Ms", valueOr("10") }, { "Foxtail-Store-Era", valueOr("0") } };
            if (request.headers[1].value.starts_with("18446744073709551615"))
                continue;
            const HttpResponse response = exchange.handleRequest(request);
            ASSERT_TRUE(response.status == 200 || response.status == 400 || response.status == 503)
                << testing::PrintToString(request.headers[0].value + " " + request.headers[1].value + " " + request.headers[2].value);
        }
    }

    TEST_F(DecoderFuzzTest, Settings)
    {
        const std::filesystem::path file = std::filesystem::temp_directory_path() / ("foxtail-fuzz-" + std::to_string(getpid()) + ".yaml");
        this->fuzz(
            { "vm:\n  id: v1\n  dataCentre: z1\n  region: r1\n  regions: {z1: r1, z2: r2}\n  processorShare: 0.5\n  logLevel: info\n"
              "listen:\n  callers: 127.0.0.1:7001\n  ready: 127.0.0.1:7002\n  peers: 127.0.0.1:7003\n  datagramPort: 7004\n  relayPort: "
              "7005\n"
              "platform:\n  store: 127.0.0.1:7100\n  promotions: 127.0.0.1:7101\n  seeds: [127.0.0.1:7003, 127.0.0.1:7013]\n"
              "bounds:\n  stopGraceSeconds: 6\n  quotaWindowSeconds: 5\n  quotaExcess: 0.1\n  quotaSlack: 20\n" },
            [&](const std::string& input) {
                std::ofstream(file, std::ios::binary | std::ios::trunc) << input;
                if (!isProxySettingsFile(file))
                    return;
                const auto settings = readProxySettings(file);
                if (settings) {
                    EXPECT_GT(settings.value().stopGracePeriod, Duration(0));
                } else {
                    EXPECT_FALSE(settings.error().empty());
                }
            },
            shortRunFiles);
        std::filesystem::remove(file);
    }

}

}
