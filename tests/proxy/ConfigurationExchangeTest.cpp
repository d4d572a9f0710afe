#include "foxtailtrail/proxy/ConfigurationExchange.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpServer.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    // A VM that serves its configuration and evacuations, and one that the store rejects.
    class ConfigurationExchangeTest : public testing::Test {
    protected:
        ConfigurationExchangeTest()
        {
            this->thread->call([&] {
                HttpServerSettings settings;
                settings.errorResponse = [](const Error&) { return HttpResponse { 400, "text/plain", {}, {} }; };
                auto listening = HttpServer::listen(
                    *this->thread, settings, [this](const HttpRequest& request) { return this->peer.handleRequest(request); });
                this->server = std::move(listening.value());
            });
        }
        ~ConfigurationExchangeTest() override
        {
            this->thread->call([&] { this->server.reset(); });
        }
        Result<PeerAnswer> fetch()
        {
            return this->thread->call([&] {
                return this->rejected.fetch(Endpoint { "127.0.0.1", this->server->port() }, std::chrono::seconds(2));
            });
        }

        EvacuationTable peerEvacuations { std::chrono::seconds(1) };
        EvacuationTable ownEvacuations { std::chrono::seconds(1) };
        ConfigurationExchange peer { { "127.0.0.1", 1 }, this->peerEvacuations };
        ConfigurationExchange rejected { { "127.0.0.1", 2 }, this->ownEvacuations };
        std::unique_ptr<FiberThread> thread = FiberThread::start("test");
        std::unique_ptr<HttpServer> server;
    };

    // Guards against EVAC at a VM that the store rejects: it learns of evacuations from its peers, with or without a newer configuration,
    // and of nothing older than what it knows.
    TEST_F(ConfigurationExchangeTest, PassesNewerEvacuationsOn)
    {
        const DataCentre evacuated("north, \"1\"");
        this->peerEvacuations.applyChanges({ { evacuated, { 1, 5 } } }, { 1, 6 }, TimePoint {});
        Result<PeerAnswer> answer = this->fetch();
        ASSERT_TRUE(answer);
        EXPECT_FALSE(answer.value().configuration);
        ASSERT_TRUE(answer.value().evacuations);
        EXPECT_EQ(answer.value().evacuations->dataCentres, std::vector { evacuated });
        EXPECT_TRUE(this->ownEvacuations.applyState(*answer.value().evacuations, TimePoint {}));
        EXPECT_EQ(this->ownEvacuations.knownAsOf(), (StoreVersion { 1, 6 }));

        this->peer.setDocument("{}", 4);
        this->peer.setFollowedStoreVersion({ 1, 6 });
        answer = this->fetch();
        ASSERT_TRUE(answer);
        ASSERT_TRUE(answer.value().configuration);
        EXPECT_FALSE(answer.value().evacuations);

        this->peerEvacuations.applyChanges({ { evacuated, { 1, 8 }, true } }, { 1, 8 }, TimePoint {});
        answer = this->fetch();
        ASSERT_TRUE(answer && answer.value().evacuations);
        EXPECT_TRUE(answer.value().evacuations->dataCentres.empty());
    }

}

}
