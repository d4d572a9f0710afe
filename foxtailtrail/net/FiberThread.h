#pragma once

#include "foxtailtrail/base/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace foxtail {

// A thread that runs fibers and one io_context. When no fiber is ready the thread waits for I/O, so nothing polls.
class FiberThread {
public:
    // Starts the thread. The name is for logs.
    static std::unique_ptr<FiberThread> start(std::string name);

    // Stops the thread and joins it, which waits for the fibers of the thread to end.
    ~FiberThread();

    FiberThread(const FiberThread&) = delete;
    FiberThread& operator=(const FiberThread&) = delete;

    const std::string& name() const { return this->threadName; }
    boost::asio::io_context& ioContext() { return *this->context; }

    // Runs the task in a new fiber of this thread. May be called from any thread.
    void post(std::function<void()> task);

    // Runs the function in a fiber of this thread and waits for its value. Called from a fiber, it blocks only that fiber.
    template <typename Function> auto call(Function function) -> decltype(function())
    {
        using Value = decltype(function());
        auto task = std::make_shared<boost::fibers::packaged_task<Value()>>(std::move(function));
        auto future = task->get_future();
        this->post([task] { (*task)(); });
        return future.get();
    }

    // Asks the thread to end and waits for it and its fibers. A second call does nothing.
    void stop();

    // The thread that the calling code runs on, or null outside of fiber threads.
    static FiberThread* current();

private:
    explicit FiberThread(std::string name);
    void run();

    std::string threadName;
    // Shared with the scheduling algorithm, which the runtime still notifies after the thread function has ended.
    std::shared_ptr<boost::asio::io_context> context;
    std::thread thread;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable stopCondition;
    bool stopping = false;
};

// Blocks the calling fiber until the deadline.
void sleepUntil(TimePoint deadline);

// Blocks the calling fiber for the given time.
void sleepFor(Duration);

// Starts a detached fiber on the calling fiber thread.
void startFiber(std::function<void()> task);

// Waits on fibers for the readiness of a descriptor that another library owns. Does not close the descriptor.
class DescriptorWaiter {
public:
    // Takes the io_context of the current fiber thread.
    explicit DescriptorWaiter(int descriptor);
    ~DescriptorWaiter();

    DescriptorWaiter(const DescriptorWaiter&) = delete;
    DescriptorWaiter& operator=(const DescriptorWaiter&) = delete;

    // Blocks the calling fiber until the descriptor is ready. Returns false when the deadline passes first.
    bool waitReadable(TimePoint deadline);
    bool waitWritable(TimePoint deadline);

    // Ends a wait of another fiber, which returns false.
    void cancel();

private:
    bool wait(boost::asio::posix::descriptor_base::wait_type, TimePoint deadline);

    boost::asio::posix::stream_descriptor descriptor;
};

}
