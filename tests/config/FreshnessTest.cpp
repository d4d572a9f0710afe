#include "foxtailtrail/config/FreshnessMonitor.h"
#include "foxtailtrail/config/InstalledConfiguration.h"
#include "tests/config/SampleConfiguration.h"

#include <gtest/gtest.h>

namespace foxtail {

using namespace std::chrono_literals;

TimePoint at(Duration sinceStart) { return TimePoint(sinceStart); }

// Guards against a version that reverts because a peer offers an old document.
TEST(ConfigurationFollowerTest, VersionsNeverGoBack)
{
    InstalledConfiguration follower;
    EXPECT_EQ(follower.installIfNewer(sampleConfiguration(7)).value(), InstallOutcome::Installed);
    EXPECT_EQ(follower.installIfNewer(sampleConfiguration(5)).value(), InstallOutcome::Older);
    EXPECT_EQ(follower.version(), 7U);
    EXPECT_EQ(follower.installIfNewer(sampleConfiguration(7)).value(), InstallOutcome::AlreadyInstalled);
    EXPECT_EQ(follower.installIfNewer(sampleConfiguration(9)).value(), InstallOutcome::Installed);
    EXPECT_EQ(follower.digest(), configurationDigest(sampleConfiguration(9)));
}

// Guards against two documents that pass for the same version, and against a text that is not the announced one.
TEST(ConfigurationFollowerTest, RefusesOtherContentOfTheSameVersion)
{
    InstalledConfiguration follower;
    ASSERT_TRUE(follower.installIfNewer(sampleConfiguration(7)).has_value());
    Configuration other = sampleConfiguration(7);
    other.keys.clear();
    const Result<InstallOutcome> sameVersion = follower.installIfNewer(other);
    ASSERT_TRUE(sameVersion.has_error());
    EXPECT_EQ(sameVersion.error().kind, ErrorKind::VersionConflict);
    EXPECT_EQ(follower.document()->keys.size(), 1U);
    const std::string next = serializeConfiguration(sampleConfiguration(8));
    EXPECT_TRUE(follower.installTextIfNewer(next, follower.digest()).has_error());
    EXPECT_TRUE(follower.installTextIfNewer("{}").has_error());
    EXPECT_TRUE(follower.installTextIfNewer(next, configurationDigest(sampleConfiguration(8))).has_value());
}

class FreshnessMonitorTest : public testing::Test {
protected:
    static VersionReport report(uint64_t version) { return { version, configurationDigest(sampleConfiguration(version)) }; }
    void install(uint64_t version) { this->monitor.recordInstallation(sampleConfiguration(version), report(version).digest); }
    void witness(const char* vm, uint64_t version, Duration sentAt)
    {
        this->monitor.recordWitnessReport(VmId(vm), report(version), at(sentAt));
    }
    bool serves(Duration now) const { return this->monitor.checkFreshness(at(now)).has_value(); }

    FreshnessMonitor monitor;
};

// Guards against a VM that serves a withdrawn key for as long as the store is silent.
TEST_F(FreshnessMonitorTest, StopsWithinThreeSecondsOfTheLastCheckSent)
{
    this->install(7);
    EXPECT_FALSE(this->serves(0s));
    this->monitor.recordStoreReport(report(7), at(1s));
    EXPECT_TRUE(this->serves(3900ms));
    EXPECT_FALSE(this->serves(4s));
    // The clock may run slow by 1%, so the VM stops 30 ms earlier on its own clock.
    EXPECT_EQ(this->monitor.servingDeadline(), at(1s + 2970ms));
    EXPECT_EQ(this->monitor.checkFreshness(at(4s)).error().kind, ErrorKind::ConfigurationStale);
}

// Guards against a late answer that pulls the deadline back or pushes it past its own send time.
TEST_F(FreshnessMonitorTest, TheLatestSendTimeCounts)
{
    this->install(7);
    this->monitor.recordStoreReport(report(7), at(2s));
    this->monitor.recordStoreReport(report(7), at(1s));
    EXPECT_EQ(this->monitor.servingDeadline(), at(4970ms));
}

// Guards against an answer that names another version and still extends the old one.
TEST_F(FreshnessMonitorTest, OtherVersionsDoNotConfirm)
{
    this->install(7);
    this->monitor.recordStoreReport(report(8), at(1s));
    this->monitor.recordStoreReport({ 7, report(8).digest }, at(1s));
    for (const char* vm : { "vm1", "vm2", "vm3" })
        this->witness(vm, 8, 1s);
    EXPECT_EQ(this->monitor.servingDeadline(), std::nullopt);
    EXPECT_EQ(this->monitor.highestReportedVersion(), 8U);
    // The same answers confirm version 8 once its document is there.
    this->install(8);
    EXPECT_EQ(this->monitor.servingDeadline(), at(3970ms));
}

// Guards against counting VMs that are no witnesses, one witness twice, or the newest instead of the majority's send time.
TEST_F(FreshnessMonitorTest, AMajorityOfWitnessesConfirms)
{
    this->install(7);
    this->witness("vm1", 7, 1s);
    this->witness("vm1", 7, 2s);
    this->witness("vm9", 7, 2s);
    this->monitor.recordWitnessReport(VmId("vm2"), std::nullopt, at(2s));
    EXPECT_FALSE(this->serves(2s));
    this->witness("vm3", 7, 1500ms);
    EXPECT_EQ(this->monitor.servingDeadline(), at(1500ms + 2970ms));
    this->witness("vm2", 8, 4s);
    EXPECT_FALSE(this->serves(4470ms));
}

// Guards against an empty VM that confirms an old copy for others: it reports nothing until it is confirmed itself.
TEST_F(FreshnessMonitorTest, AnEmptyVmReportsNothingBeforeItsFirstConfirmation)
{
    this->install(7);
    EXPECT_EQ(this->monitor.ownReport(), std::nullopt);
    this->monitor.recordStoreReport(report(7), at(1s));
    EXPECT_EQ(this->monitor.ownReport(), report(7));
    // A pushed version is newer than the confirmed one, so it is served within the time already confirmed.
    this->install(8);
    EXPECT_EQ(this->monitor.ownReport(), report(8));
    EXPECT_TRUE(this->serves(3s));
}

// Guards against a majority of no witnesses, which would confirm anything.
TEST_F(FreshnessMonitorTest, WithoutWitnessesOnlyTheStoreConfirms)
{
    Configuration configuration = sampleConfiguration(7);
    configuration.witnesses.clear();
    this->monitor.recordInstallation(configuration, "digest");
    this->monitor.recordWitnessReport(VmId("vm1"), VersionReport { 7, "digest" }, at(1s));
    EXPECT_FALSE(this->serves(1s));
    this->monitor.recordStoreReport({ 7, "digest" }, at(1s));
    EXPECT_TRUE(this->serves(1s));
}

}
