#include "foxtailtrail/proxy/RelayServer.h"
#include "tests/proxy/FakePool.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using Tcp = boost::asio::ip::tcp;

    // Guards against a VM that ends because another one opens a channel that is open already: the first channel was deleted while its
    // connection to the server still had it as its listener.
    TEST(RelayServerTest, ClosesConnectionThatOpensAChannelTwice)
    {
        boost::asio::io_context context;
        const platform::LineBackendCodec codec;
        ServerEntry server;
        server.id = BackendServerId("b1");
        auto pool = std::make_shared<FakePool>(codec, server);
        RelayServer relay(
            context, codec, [&](const BackendServerId&) { return pool; }, [](const BackendServerId&) { return false; });
        ASSERT_TRUE(relay.listen({ "127.0.0.1", 0 }));
        const auto runUntil = [&](const std::function<bool()>& isDone) {
            for (int round = 0; round < 200 && !isDone(); ++round)
                context.run_one_for(std::chrono::milliseconds(10));
            return isDone();
        };
        Tcp::socket peer(context);
        peer.connect(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), relay.localPort()));
        std::string frames;
        writeRelayOpen(frames, 5, { server.id, "organisation", 0, 100 }, 1, "QUERY a READ 1\r\n");
        boost::asio::write(peer, boost::asio::buffer(frames));
        ASSERT_TRUE(runUntil([&] { return pool->links.size() == 1; }));
        EXPECT_EQ(relay.channelCount(), 1U);

        boost::asio::write(peer, boost::asio::buffer(frames));
        std::array<char, 16> buffer {};
        boost::system::error_code readError;
        bool hasRead = false;
        boost::asio::async_read(peer, boost::asio::buffer(buffer), [&](const boost::system::error_code& code, size_t) {
            readError = code;
            hasRead = true;
        });
        EXPECT_TRUE(runUntil([&] { return hasRead; }));
        EXPECT_EQ(readError, boost::asio::error::eof);
        EXPECT_EQ(relay.channelCount(), 0U);
        EXPECT_EQ(pool->links.size(), 1U);
        EXPECT_TRUE(pool->links.front()->isAborted);
        // A reply that arrives now reaches no channel.
        pool->links.front()->receive("DONE -\r\nREADY I 1.1\r\n");
    }

    // Guards against EVAC: statements of a VM that does not know of an evacuation reached a server there through the VM that holds its
    // connections. Questions for the status pass.
    TEST(RelayServerTest, ForwardsNoStatementsToAnEvacuatedServer)
    {
        boost::asio::io_context context;
        const platform::LineBackendCodec codec;
        ServerEntry server;
        server.id = BackendServerId("b1");
        auto pool = std::make_shared<FakePool>(codec, server);
        bool isEvacuated = false;
        RelayServer relay(
            context, codec, [&](const BackendServerId&) { return pool; }, [&](const BackendServerId&) { return isEvacuated; });
        ASSERT_TRUE(relay.listen({ "127.0.0.1", 0 }));
        Tcp::socket peer(context);
        peer.connect(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), relay.localPort()));
        const auto exchange = [&](const std::string& frames) {
            boost::asio::write(peer, boost::asio::buffer(frames));
            context.restart();
            context.run_for(std::chrono::milliseconds(50));
        };
        std::string open;
        writeRelayOpen(open, 5, { server.id, "organisation", 0, 1000 }, 1, "QUERY - BEGIN\r\n");
        exchange(open);
        ASSERT_EQ(pool->links.size(), 1U);
        pool->links.front()->receive("DONE -\r\nREADY T 1.1\r\n");
        isEvacuated = true;
        std::string statements;
        writeRelayStatements(statements, 5, 1, "QUERY a READ 1\r\n");
        exchange(statements);
        EXPECT_EQ(pool->links.front()->written, "QUERY - BEGIN\r\n");
        EXPECT_TRUE(pool->links.front()->isAborted);
        EXPECT_EQ(relay.channelCount(), 0U);

        std::string reopened;
        writeRelayOpen(reopened, 6, { server.id, "organisation", 0, 1000 }, 1, "QUERY b READ 1\r\n");
        exchange(reopened);
        EXPECT_EQ(pool->links.back()->written, "");
        EXPECT_EQ(relay.channelCount(), 0U);

        std::string status;
        codec.writeCommand(status, BackendCommand::Status, Term {}, std::nullopt);
        std::string question;
        writeRelayOpen(question, 7, { server.id, "organisation", 0, 1000 }, 1, status);
        exchange(question);
        EXPECT_EQ(pool->links.back()->written, status);
        EXPECT_EQ(relay.channelCount(), 1U);

        std::vector<char> received(4096);
        received.resize(peer.read_some(boost::asio::buffer(received)));
        std::string_view rest(received.data(), received.size());
        std::vector<RelayFrameKind> kinds;
        for (RelayFrame frame; readRelayFrame(rest, frame) == RelayReadResult::Complete;)
            kinds.push_back(frame.kind);
        EXPECT_EQ(kinds, (std::vector { RelayFrameKind::Answer, RelayFrameKind::Lost, RelayFrameKind::Denied }));
    }

}

}
