#include "tests/callers/Crowd.h"
#include "tests/fleet/Fleet.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace foxtail::fleet {

namespace {

    // The crowd and the bounds. A VM of the tests has this much memory and this many descriptors.
    constexpr size_t crowdSize = 150;
    constexpr size_t memoryMegabytes = 64;
    constexpr size_t descriptors = 250;
    constexpr const char* vmSettings = "memory: {limitMegabytes: 64, descriptors: 250}\n";

    constexpr size_t largeBytes = 900'000;
    constexpr size_t overLimitBytes = size_t { 3 } << 20;
    constexpr size_t answerBytes = 64'000;
    // A whole message in one piece, and a piece of one.
    constexpr size_t onePiece = size_t { 4 } << 20;
    constexpr size_t smallPiece = 4096;

    const std::string startMessage = "START strict key-of-orga\r\n";

    // Plays crowds of callers that a VM does not control. Checks that the VM lives, what memory and descriptors it holds at most, and that
    // an ordinary request is answered while the crowd's connections are still there.
    class CrowdTest : public testing::Test {
    protected:
        void startFleet(size_t vmCount, Fleet::ConnectionMode mode = Fleet::ConnectionMode::Direct)
        {
            this->fleet = std::make_unique<Fleet>(vmCount, Fleet::PortOverrides {}, mode, vmSettings);
            ASSERT_TRUE(this->fleet->waitUntilReady()) << this->fleet->logs();
            // The first operations of a fleet that has just started may be refused by its quotas.
            for (size_t vm = 0; vm < vmCount; ++vm)
                ASSERT_TRUE(eventually([&] { return this->isOrdinaryRequestServed(vm); }));
        }

        uint16_t port() const { return this->fleet->callerPort(0); }

        bool isOrdinaryRequestServed(size_t vm)
        {
            Caller caller(this->fleet->callerPort(vm));
            return caller.isConnected() && caller.start("strict", "key-of-orga").succeeded()
                && caller.query("o" + std::to_string(++this->requestCount), "WRITE o 1").succeeded();
        }

        // Returns the value of a line of the process's status file, in kilobytes.
        size_t statusKilobytes(size_t vm, const std::string& name) const
        {
            std::ifstream status("/proc/" + std::to_string(this->fleet->processId(vm)) + "/status");
            for (std::string line; std::getline(status, line);) {
                if (line.starts_with(name + ":"))
                    return std::stoul(line.substr(name.size() + 1));
            }
            return 0;
        }

        size_t descriptorCount(size_t vm) const
        {
            const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->fleet->processId(vm)) + "/fd");
            return static_cast<size_t>(std::distance(begin(entries), end(entries)));
        }

        void checkVms()
        {
            ASSERT_TRUE(this->fleet->unexpectedExits().empty());
            for (size_t vm = 0; vm < this->fleet->vmCount(); ++vm) {
                EXPECT_LE(this->descriptorCount(vm), descriptors) << "vm" << vm;
                EXPECT_TRUE(eventually([&] { return this->isOrdinaryRequestServed(vm); }, std::chrono::seconds(45))) << "vm" << vm;
                EXPECT_LE(this->descriptorCount(vm), descriptors) << "vm" << vm;
                const size_t peak = this->statusKilobytes(vm, "VmHWM");
                EXPECT_GT(peak, 0U);
                EXPECT_LE(peak, memoryMegabytes * 1024) << "vm" << vm;
                std::cout << "vm" << vm << " peak " << peak / 1024 << " MB, now " << this->statusKilobytes(vm, "VmRSS") / 1024 << " MB, "
                          << this->descriptorCount(vm) << " descriptors\n";
            }
            ASSERT_TRUE(this->fleet->unexpectedExits().empty());
        }

        // Stores an item whose answer is large.
        void storeLargeItem()
        {
            Caller caller(this->port());
            ASSERT_TRUE(caller.start("strict", "key-of-orga").succeeded());
            ASSERT_TRUE(caller.query("large", "WRITE large " + std::string(answerBytes, 'a')).succeeded());
        }

        static std::string largeRequest(size_t member)
        {
            return "QUERY w" + std::to_string(member) + " READ " + std::string(largeBytes, 'x') + "\r\n";
        }

        // Returns many reads of the large item.
        static std::string readsAhead(size_t count)
        {
            std::string reads;
            for (size_t index = 0; index < count; ++index)
                reads += "QUERY r" + std::to_string(index) + " READ large\r\n";
            return reads;
        }

        std::unique_ptr<Fleet> fleet;
        size_t requestCount = 0;
    };

    TEST_F(CrowdTest, HoldsMessagesOpen)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        crowd.queue(startMessage + "QUERY h READ " + std::string(largeBytes, 'x'));
        crowd.play(smallPiece, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, SendsMessagesFarOverTheLimit)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        crowd.queue(startMessage + "QUERY h READ " + std::string(overLimitBytes, 'x') + "\r\n");
        crowd.play(smallPiece, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, SendsAheadWithoutReading)
    {
        this->startFleet(1);
        ASSERT_NO_FATAL_FAILURE(this->storeLargeItem());
        Crowd crowd(this->port(), crowdSize);
        crowd.queue(startMessage + readsAhead(30'000));
        crowd.play(onePiece, Crowd::Reading::None);
        std::this_thread::sleep_for(std::chrono::seconds(6));
        this->checkVms();
    }

    TEST_F(CrowdTest, SendsSlowly)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        crowd.queue(startMessage + "QUERY h READ " + std::string(largeBytes / 2, 'x'));
        crowd.play(smallPiece, Crowd::Reading::All);
        crowd.queue(std::string(100, 'x'));
        crowd.play(1, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, ReadsSlowly)
    {
        this->startFleet(1);
        ASSERT_NO_FATAL_FAILURE(this->storeLargeItem());
        Crowd crowd(this->port(), crowdSize);
        crowd.queue(startMessage + readsAhead(5'000));
        crowd.play(smallPiece, Crowd::Reading::OneByteAtATime);
        for (int round = 0; round < 6; ++round) {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            crowd.play(smallPiece, Crowd::Reading::OneByteAtATime);
        }
        this->checkVms();
    }

    TEST_F(CrowdTest, StopsHalfWay)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        for (size_t member = 0; member < crowdSize; ++member)
            crowd.queue(member, (member % 2 == 0 ? "START strict " : startMessage + "QUERY h WRITE x ") + std::string(largeBytes / 2, 'x'));
        crowd.play(onePiece, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, SendsLargeMessagesInOnePiece)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        for (size_t member = 0; member < crowdSize; ++member)
            crowd.queue(member, startMessage + largeRequest(member) + largeRequest(member));
        crowd.play(onePiece, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, SendsLargeMessagesInSmallPieces)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        for (size_t member = 0; member < crowdSize; ++member)
            crowd.queue(member, startMessage + largeRequest(member));
        crowd.play(smallPiece, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, FillsSessions)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), crowdSize);
        std::string fill = startMessage;
        for (size_t index = 0; index < 12; ++index) {
            const std::string number = std::to_string(index);
            fill.append("QUERY s").append(number).append(" SET v").append(number).append(" ").append(60'000, 'v').append("\r\n");
            fill.append("QUERY p").append(number).append(" PREPARE p").append(number).append(" READ ").append(60'000, 'p').append("\r\n");
        }
        crowd.queue(fill);
        crowd.play(onePiece, Crowd::Reading::All);
        this->checkVms();
    }

    TEST_F(CrowdTest, OpensMoreConnectionsThanDescriptors)
    {
        this->startFleet(1);
        Crowd crowd(this->port(), 2 * descriptors);
        crowd.play(onePiece, Crowd::Reading::All);
        this->checkVms();
    }

    // The VM that holds the connections to the servers must not be run out of memory through the others.
    TEST_F(CrowdTest, SendsLargeMessagesThroughRelay)
    {
        this->startFleet(3, Fleet::ConnectionMode::Relayed);
        std::vector<std::unique_ptr<Crowd>> crowds;
        for (size_t vm = 0; vm < this->fleet->vmCount(); ++vm)
            crowds.push_back(std::make_unique<Crowd>(this->fleet->callerPort(vm), crowdSize / 3));
        for (size_t vm = 0; vm < crowds.size(); ++vm) {
            for (size_t member = 0; member < crowdSize / 3; ++member)
                crowds[vm]->queue(member, startMessage + largeRequest(vm * crowdSize + member));
            crowds[vm]->play(smallPiece, Crowd::Reading::All);
        }
        this->checkVms();
    }

}

}
