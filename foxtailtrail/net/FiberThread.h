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

// A thread that runs fibers and one io_context. When no fiber is ready, the thread blocks until I/O completes instead of polling.
class FiberThread {
public:
    // Starts the thread. The name identifies it in logs.
    static std::unique_ptr<FiberThread> start(std::string name);

    // Stops and joins the thread, which waits until its fibers have ended.
    ~FiberThread();

    FiberThread(const FiberThread&) = delete;
    FiberThread& operator=(const FiberThread&) = delete;

    const std::string& name() const { return this->threadName; }
    boost::asio::io_context& ioContext() { return *this->context; }

    // Runs the task in a new fiber of this thread. May be called from any thread.
    void post(std::function<void()> task);

    // Runs the function in a fiber of this thread and waits for its result. When called from a fiber, it blocks only that fiber.
    template <typename Function> auto call(Function function) -> decltype(function())
    {
        using Value = decltype(function());
        auto task = std::make_shared<boost::fibers::packaged_task<Value()>>(std::move(function));
        auto future = task->get_future();
        this->post([task] { (*task)(); });
        return future.get();
    }

    // Requests the thread to stop and waits until the thread and its fibers have ended. A second call has no effect.
    void stop();

    // Returns the fiber thread that the caller runs on, or null if it runs on another thread.
    static FiberThread* current();

private:
    explicit FiberThread(std::string name);
    void run();

    std::string threadName;
    // Shared with the scheduling algorithm, which Boost.Fiber still notifies after the thread function has ended.
    std::shared_ptr<boost::asio::io_context> context;
    std::thread thread;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable stopCondition;
    bool isStopping = false;
};

// Blocks the calling fiber until the deadline.
void sleepUntil(TimePoint deadline);

// Blocks the calling fiber for the given duration.
void sleepFor(Duration);

// Starts a detached fiber on the calling fiber thread.
void startFiber(std::function<void()> task);

// Blocks fibers until a descriptor that another library owns is ready. Does not close the descriptor.
class DescriptorWaiter {
public:
    // Uses the io_context of the current fiber thread.
    explicit DescriptorWaiter(int descriptor);
    ~DescriptorWaiter();

    DescriptorWaiter(const DescriptorWaiter&) = delete;
    DescriptorWaiter& operator=(const DescriptorWaiter&) = delete;

    // Blocks the calling fiber until the descriptor is ready. Returns false if the deadline passes first or the wait is cancelled.
    bool waitReadable(TimePoint deadline);
    bool waitWritable(TimePoint deadline);

    // Cancels the wait of another fiber, which then returns false.
    void cancel();

private:
    bool wait(boost::asio::posix::descriptor_base::wait_type, TimePoint deadline);

    boost::asio::posix::stream_descriptor descriptor;
};

}
