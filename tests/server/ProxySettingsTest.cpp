#include "foxtailtrail/proxy/ProxySettings.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace foxtail {

namespace {

    constexpr const char* validSettings
        = "vm: {id: a, dataCentre: z, region: r, regions: {z: r}}\n"
          "listen: {callers: '10.0.0.1:1', ready: '10.0.0.1:2', peers: '10.0.0.1:3', datagramPort: 4, relayPort: 5}\n"
          "platform: {store: '10.0.0.2:5', promotions: '10.0.0.2:6', seeds: ['10.0.0.3:3']}\n"
          "bounds: {stopGraceSeconds: 6, quotaWindowSeconds: 5, quotaExcess: 0.1, quotaSlack: 20}\n";

    class ProxySettingsTest : public testing::Test {
    protected:
        void writeFile(const std::string& text) { std::ofstream(this->file) << text; }
        void TearDown() override { std::filesystem::remove(this->file); }

        std::string file = std::filesystem::temp_directory_path().string() + "/foxtail-proxy-settings-" + std::to_string(getpid());
    };

    TEST_F(ProxySettingsTest, ReadsValidFile)
    {
        this->writeFile(validSettings);
        EXPECT_TRUE(isProxySettingsFile(this->file));
        const auto settings = readProxySettings(this->file);
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().callerEndpoint, (Endpoint { "10.0.0.1", 1 }));
        EXPECT_EQ(settings.value().seeds.size(), 1U);
        EXPECT_EQ(settings.value().stopGracePeriod, std::chrono::seconds(6));
        EXPECT_EQ(settings.value().logLevel, "info");
        EXPECT_FALSE(settings.value().usesEvenLoad);
        this->writeFile(std::string(validSettings) + "routing: {evenLoad: true}\n");
        EXPECT_TRUE(readProxySettings(this->file).value().usesEvenLoad);
        this->writeFile(std::string(validSettings) + "routing: {evenLoad: often}\n");
        EXPECT_FALSE(readProxySettings(this->file));
    }

    // Guards against errors that are reported only after an earlier error has been corrected.
    TEST_F(ProxySettingsTest, ReportsAllErrorsAtOnce)
    {
        this->writeFile(
            "vm: {id: a, logLevel: loud}\nlisten: {callers: nowhere, ready: '10.0.0.1:99999', peers: '10.0.0.1:3'}\n"
            "platform: {store: ':5'}\nbounds: {stopGraceSeconds: soon, quotaWindowSeconds: 0, quotaExcess: 0.1, quotaSlack: 20}\n");
        const auto settings = readProxySettings(this->file);
        ASSERT_FALSE(settings);
        std::string all;
        for (const std::string& message : settings.error())
            all += message + "\n";
        for (const char* name : { "vm.dataCentre", "vm.region", "vm.logLevel", "listen.callers", "listen.ready", "listen.datagramPort",
                 "listen.relayPort", "platform.store", "bounds.stopGraceSeconds", "bounds.quotaWindowSeconds" })
            EXPECT_NE(all.find(name), std::string::npos) << name << " in\n" << all;
    }

    TEST_F(ProxySettingsTest, DividesMemoryAndRejectsTooLittleForOneMessage)
    {
        this->writeFile(std::string(validSettings) + "memory: {limitMegabytes: 160, descriptors: 400}\n");
        const auto settings = readProxySettings(this->file);
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().memory.maxConnections(), 336U);
        EXPECT_EQ(settings.value().memory.largePlaces(), 5U);
        this->writeFile(std::string(validSettings) + "memory: {limitMegabytes: 40, descriptors: 400}\n");
        const auto tooSmall = readProxySettings(this->file);
        ASSERT_FALSE(tooSmall);
        EXPECT_NE(tooSmall.error().front().find("memory.limitMegabytes must be at least 48"), std::string::npos);
    }

    TEST_F(ProxySettingsTest, RejectsFileThatCannotBeParsed)
    {
        this->writeFile("vm: [");
        EXPECT_FALSE(isProxySettingsFile(this->file));
        EXPECT_FALSE(readProxySettings(this->file));
        EXPECT_FALSE(readProxySettings(this->file + ".none"));
    }

    // Guards against evacuations that are known so late that hand-overs and open transactions have no time left within the bound.
    TEST_F(ProxySettingsTest, LeavesTimeForAnEvacuationWithinItsBound)
    {
        this->writeFile(validSettings);
        ChangeBounds bounds = readProxySettings(this->file).value().changeBounds;
        EXPECT_FALSE(bounds.evacuation);
        EXPECT_EQ(bounds.declarations(), bounds.configuration);
        const std::string text = std::string(validSettings).substr(0, std::string(validSettings).rfind('}'));
        this->writeFile(text + ", configurationMilliseconds: 5000, evacuationMilliseconds: 4000}\n");
        bounds = readProxySettings(this->file).value().changeBounds;
        EXPECT_EQ(bounds.evacuation, std::chrono::milliseconds(4000));
        EXPECT_LT(bounds.declarations() + bounds.evacuationSettlingPeriod(), std::chrono::milliseconds(4000));
        this->writeFile(text + ", evacuationMilliseconds: 2334}\n");
        EXPECT_TRUE(readProxySettings(this->file));
        this->writeFile(text + ", evacuationMilliseconds: 2333}\n");
        EXPECT_FALSE(readProxySettings(this->file));
    }

    // Guards against cold servers that are limited by other bounds than the platform's, and against a factor that permits less than the
    // rate.
    TEST_F(ProxySettingsTest, ReadsBoundsOfColdServers)
    {
        this->writeFile(validSettings);
        EXPECT_EQ(readProxySettings(this->file).value().coldServers.excess, 1);
        const std::string text = std::string(validSettings).substr(0, std::string(validSettings).rfind('}'));
        this->writeFile(text + ", coldExcess: 1.5, coldSlack: 5}\n");
        const auto settings = readProxySettings(this->file);
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().coldServers.excess, 1.5);
        EXPECT_EQ(settings.value().coldServers.slack, 5);
        this->writeFile(text + ", coldExcess: 0.5}\n");
        EXPECT_FALSE(readProxySettings(this->file));
        this->writeFile(text + ", coldSlack: many}\n");
        EXPECT_FALSE(readProxySettings(this->file));
    }

}

}
