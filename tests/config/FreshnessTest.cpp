#include "foxtailtrail/config/FreshnessMonitor.h"
#include "foxtailtrail/config/InstalledConfiguration.h"
#include "tests/config/SampleConfiguration.h"

#include <gtest/gtest.h>

namespace foxtail {

using namespace std::chrono_literals;

TimePoint at(Duration sinceStart) { return TimePoint(sinceStart); }

// Guards against an installed version that is replaced by an older document from a peer.
TEST(InstalledConfigurationTest, DoesNotInstallOlderVersion)
{
    InstalledConfiguration installed;
    EXPECT_EQ(installed.installIfNewer(sampleConfiguration(7)).value(), InstallOutcome::Installed);
    EXPECT_EQ(installed.installIfNewer(sampleConfiguration(5)).value(), InstallOutcome::Older);
    EXPECT_EQ(installed.version(), 7U);
    EXPECT_EQ(installed.installIfNewer(sampleConfiguration(7)).value(), InstallOutcome::AlreadyInstalled);
    EXPECT_EQ(installed.installIfNewer(sampleConfiguration(9)).value(), InstallOutcome::Installed);
    EXPECT_EQ(installed.digest(), configurationDigest(sampleConfiguration(9)));
}

// Guards against two different documents that are both accepted as the same version, and against a text whose digest is not the expected
// one.
TEST(InstalledConfigurationTest, RefusesDifferentContentOfSameVersion)
{
    InstalledConfiguration installed;
    ASSERT_TRUE(installed.installIfNewer(sampleConfiguration(7)).has_value());
    Configuration other = sampleConfiguration(7);
    other.keys.clear();
    const Result<InstallOutcome> sameVersion = installed.installIfNewer(other);
    ASSERT_TRUE(sameVersion.has_error());
    EXPECT_EQ(sameVersion.error().kind, ErrorKind::VersionConflict);
    EXPECT_EQ(installed.document()->keys.size(), 1U);
    const std::string next = serializeConfiguration(sampleConfiguration(8));
    EXPECT_TRUE(installed.installTextIfNewer(next, installed.digest()).has_error());
    EXPECT_TRUE(installed.installTextIfNewer("{}").has_error());
    EXPECT_TRUE(installed.installTextIfNewer(next, configurationDigest(sampleConfiguration(8))).has_value());
}

class FreshnessMonitorTest : public testing::Test {
protected:
    static VersionReport report(uint64_t version) { return { version, configurationDigest(sampleConfiguration(version)) }; }
    void install(uint64_t version) { this->monitor.recordInstallation(sampleConfiguration(version), report(version).digest); }
    void reportFromWitness(const char* vm, uint64_t version, Duration sentAt)
    {
        this->monitor.recordWitnessReport(VmId(vm), report(version), at(sentAt));
    }
    bool isServing(Duration now) const { return this->monitor.checkFreshness(at(now)).has_value(); }

    FreshnessMonitor monitor;
};

// Guards against a VM that continues to serve a withdrawn key while the store does not respond.
TEST_F(FreshnessMonitorTest, StopsServingThreeSecondsAfterLastCheckWasSent)
{
    this->install(7);
    EXPECT_FALSE(this->isServing(0s));
    this->monitor.recordStoreReport(report(7), at(1s));
    EXPECT_TRUE(this->isServing(3900ms));
    EXPECT_FALSE(this->isServing(4s));
    // The clock may run slow by 1%, so the VM stops 30 ms earlier by its own clock.
    EXPECT_EQ(this->monitor.servingDeadline(), at(1s + 2970ms));
    EXPECT_EQ(this->monitor.checkFreshness(at(4s)).error().kind, ErrorKind::ConfigurationStale);
}

// Guards against a response that arrives late and moves the deadline back, or extends it beyond what its send time allows.
TEST_F(FreshnessMonitorTest, UsesLatestSendTime)
{
    this->install(7);
    this->monitor.recordStoreReport(report(7), at(2s));
    this->monitor.recordStoreReport(report(7), at(1s));
    EXPECT_EQ(this->monitor.servingDeadline(), at(4970ms));
}

// Guards against a report of another version that extends the deadline of the installed one.
TEST_F(FreshnessMonitorTest, IgnoresReportsOfOtherVersions)
{
    this->install(7);
    this->monitor.recordStoreReport(report(8), at(1s));
    this->monitor.recordStoreReport({ 7, report(8).digest }, at(1s));
    for (const char* vm : { "vm1", "vm2", "vm3" })
        this->reportFromWitness(vm, 8, 1s);
    EXPECT_EQ(this->monitor.servingDeadline(), std::nullopt);
    EXPECT_EQ(this->monitor.highestReportedVersion(), 8U);
    // The same reports confirm version 8 once its document is installed.
    this->install(8);
    EXPECT_EQ(this->monitor.servingDeadline(), at(3970ms));
}

// Guards against counting a VM that is not a witness, counting a witness twice, or using the latest send time instead of the majority's.
TEST_F(FreshnessMonitorTest, MajorityOfWitnessesConfirmsVersion)
{
    this->install(7);
    this->reportFromWitness("vm1", 7, 1s);
    this->reportFromWitness("vm1", 7, 2s);
    this->reportFromWitness("vm9", 7, 2s);
    this->monitor.recordWitnessReport(VmId("vm2"), std::nullopt, at(2s));
    EXPECT_FALSE(this->isServing(2s));
    this->reportFromWitness("vm3", 7, 1500ms);
    EXPECT_EQ(this->monitor.servingDeadline(), at(1500ms + 2970ms));
    this->reportFromWitness("vm2", 8, 4s);
    EXPECT_FALSE(this->isServing(4470ms));
}

// Guards against a restarted VM that confirms an old copy for others: it reports no version until its own has been confirmed.
TEST_F(FreshnessMonitorTest, ReportsNoVersionBeforeFirstConfirmation)
{
    this->install(7);
    EXPECT_EQ(this->monitor.ownReport(), std::nullopt);
    this->monitor.recordStoreReport(report(7), at(1s));
    EXPECT_EQ(this->monitor.ownReport(), report(7));
    // A newer version that is received before it is confirmed is served until the deadline of the confirmed one.
    this->install(8);
    EXPECT_EQ(this->monitor.ownReport(), report(8));
    EXPECT_TRUE(this->isServing(3s));
}

// Guards against an empty witness list whose majority of zero would confirm any version.
TEST_F(FreshnessMonitorTest, OnlyStoreConfirmsWithoutWitnesses)
{
    Configuration configuration = sampleConfiguration(7);
    configuration.witnesses.clear();
    this->monitor.recordInstallation(configuration, "digest");
    this->monitor.recordWitnessReport(VmId("vm1"), VersionReport { 7, "digest" }, at(1s));
    EXPECT_FALSE(this->isServing(1s));
    this->monitor.recordStoreReport({ 7, "digest" }, at(1s));
    EXPECT_TRUE(this->isServing(1s));
}

}
