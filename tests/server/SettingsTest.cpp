#include "foxtailtrail/server/Settings.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    constexpr const char* smallestSettings = "vm: {id: a, region: r, dataCentre: d}\n" // line 1
                                             "listen: {address: 127.0.0.1}\n" // line 2
                                             "store: {address: 127.0.0.1, port: 7070}\n" // line 3
                                             "operator: {secret: 0123456789abcdef}\n"; // line 4

    std::string errorsOf(std::string_view yaml)
    {
        const auto result = parseSettings(yaml, "f");
        std::string text;
        if (!result) {
            for (const SettingsError& settingsError : result.error())
                text += settingsError.text() + "\n";
        }
        return text;
    }

}

// Guards against a default outside its own range, and against a setting that is required by mistake.
TEST(SettingsTest, AppliesDefaultsToSmallestFile)
{
    ASSERT_EQ(errorsOf(smallestSettings), "");
    const Settings settings = parseSettings(smallestSettings, "f").value();
    EXPECT_EQ(settings.freshnessLifetime, std::chrono::seconds(3));
    EXPECT_EQ(settings.primaryUnansweredTimeout, std::chrono::milliseconds(600));
    EXPECT_EQ(settings.storeTimeout, std::chrono::milliseconds(500));
    EXPECT_EQ(settings.trafficThreads, 1U);
    EXPECT_EQ(settings.logLevel, "info");
}

// Guards against invalid settings that are silently ignored. Each text is appended to the smallest file, from line 5 on, and adds one
// error.
TEST(SettingsTest, ReportsLineAndAllowedValuesOfEachError)
{
    struct ErrorCase {
        const char* text;
        const char* expected;
    };
    const ErrorCase cases[]
        = { { "request: {maxBody: 1}", "f:5: unknown key \"maxBody\" in section request" }, { "extra: 1", "f:5: unknown key \"extra\"" },
              { "trafficThreads: 17", "f:5: trafficThreads: the value \"17\"" }, { "trafficThreads: \"2\"", "f:5: trafficThreads" },
              { "trafficThreads: [2]", "f:5: trafficThreads" }, { "trafficThreads: -1", "f:5: trafficThreads" },
              { "trafficThreads: 1\ntrafficThreads: 2", "f:6: repeated key" }, { "log: {level: loud}", "f:5: log.level" },
              { "log: 3", "f:5: section log must be a map" }, { "peers: [\"127.0.0.1\"]", "f:5: peers" },
              { "peers: [\"localhost:1\"]", "f:5: peers" }, { "configuration: {freshnessMs: 4000}", "f:5: configuration.freshnessMs" },
              { "configuration: {freshnessMs: 900}", "f:5: configuration.checkIntervalMs exceeds" },
              { "request: {maxDeadlineMs: 4000}", "f:5: request.defaultDeadlineMs exceeds" },
              { "objectives: [{service: s, availabilityPercent: 100, latencyMs: 5}]", "f:5: objectives: availabilityPercent" },
              { "objectives: [{service: s, availabilityPercent: 99}]", "f:5: an objective lacks latencyMs" },
              { "request: {", "f:5: not valid YAML" }, { "---\nvm: 1", "f:1: the file must hold one" } };
    for (const ErrorCase& errorCase : cases) {
        const std::string errors = errorsOf(std::string(smallestSettings) + errorCase.text);
        EXPECT_EQ(errors.rfind(errorCase.expected, 0), 0U) << errorCase.text << "\n" << errors;
        EXPECT_NE(errors.find(" (allowed: "), std::string::npos) << errors;
        EXPECT_EQ(errors.find('\n'), errors.size() - 1) << "each error must be one line: " << errors;
    }
}

// Guards against errors that are reported only after an earlier error has been corrected, and against a secret that appears in a message.
TEST(SettingsTest, ReportsAllErrorsAtOnce)
{
    const std::string errors = errorsOf("vm: {id: 'a b', region: r}\nlisten: {address: here, peerPort: 70000}\n"
                                        "operator: {secret: tooshort, secretFile: none}\n");
    for (const char* expected : { "f:1: vm.id: ", "f:1: vm.dataCentre is missing",
             "f:2: listen.address: ", "f:2: listen.peerPort: ", "f:3: operator.secret: ", "f:3: operator.secret and operator.secretFile",
             "f:1: store.address is missing", "f:1: store.port is missing" })
        EXPECT_NE(errors.find(expected), std::string::npos) << expected << "\n" << errors;
    EXPECT_EQ(errors.find("tooshort"), std::string::npos);
}

// Guards against a secret that includes the line end of its file, and against a missing secret file that is not reported.
TEST(SettingsTest, ReadsSecretFromFile)
{
    const std::string folder = testing::TempDir();
    const std::string secretFile = folder + "settings-test-secret";
    std::ofstream(secretFile) << "0123456789abcdefgh\n";
    const std::string text = std::string(smallestSettings).substr(0, std::string(smallestSettings).find("operator"));
    const auto result = parseSettings(text + "operator: {secretFile: settings-test-secret}\n", folder + "vm.yaml");
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result.value().operatorSecret, "0123456789abcdefgh");
    std::remove(secretFile.c_str());
    EXPECT_FALSE(parseSettings(text + "operator: {secretFile: settings-test-secret}\n", folder + "vm.yaml").has_value());
}

// Guards against a sample that does not start a VM, and against a reference page that is outdated. docs/settings.md refers to this test by
// name.
TEST(SettingsTest, TheSampleAndTheReferencePageAreCurrent)
{
    const std::string root = FOXTAIL_SOURCE_FOLDER;
    const auto sample = readSettings(root + "/samples/vm.yaml");
    ASSERT_TRUE(sample.has_value()) << sample.error().front().text();
    EXPECT_EQ(sample.value().peers.size(), 2U);
    const std::string file = root + "/docs/settings.md";
    if (std::getenv("FOXTAIL_UPDATE_PAGES"))
        std::ofstream(file) << settingsReference();
    std::ifstream stream(file);
    const std::string page { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    EXPECT_EQ(page, settingsReference()) << "run this test with FOXTAIL_UPDATE_PAGES=1 in the environment to regenerate the page";
}

}
