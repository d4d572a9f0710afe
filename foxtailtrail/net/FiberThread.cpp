#include "foxtailtrail/net/FiberThread.h"

#include "foxtailtrail/net/Await.h"
#include "foxtailtrail/net/Clock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#include <boost/fiber/scheduler.hpp>
#include <cassert>

namespace foxtail {

namespace {

    thread_local FiberThread* currentThread = nullptr;

    // Request handling with Boost.JSON and libjsonrpccpp needs about 40 KiB of stack. A guard page detects an overflow.
    constexpr size_t fiberStackBytes = size_t { 128 } * 1024;

    // Schedules fibers round-robin and waits in the io_context when no fiber is ready.
    class AsioScheduler : public boost::fibers::algo::algorithm {
    public:
        explicit AsioScheduler(std::shared_ptr<boost::asio::io_context> context)
            : context(std::move(context))
        {
        }

        void awakened(boost::fibers::context* fiber) noexcept override { fiber->ready_link(this->readyQueue); }

        boost::fibers::context* pick_next() noexcept override
        {
            if (this->readyQueue.empty())
                return nullptr;
            boost::fibers::context* fiber = &this->readyQueue.front();
            this->readyQueue.pop_front();
            return fiber;
        }

        // The dispatcher calls this once per round, so polling here processes I/O even while fibers are always ready.
        bool has_ready_fibers() const noexcept override
        {
            this->context->poll();
            return !this->readyQueue.empty();
        }

        void suspend_until(const std::chrono::steady_clock::time_point& deadline) noexcept override
        {
            if (deadline == (std::chrono::steady_clock::time_point::max)())
                this->context->run_one();
            else
                this->context->run_one_until(deadline);
        }

        void notify() noexcept override
        {
            boost::asio::post(*this->context, [] {});
        }

    private:
        std::shared_ptr<boost::asio::io_context> context;
        boost::fibers::scheduler::ready_queue_type readyQueue;
    };

}

FiberThread::FiberThread(std::string name)
    : threadName(std::move(name))
    , context(std::make_shared<boost::asio::io_context>(1))
{
}

std::unique_ptr<FiberThread> FiberThread::start(std::string name)
{
    std::unique_ptr<FiberThread> newThread(new FiberThread(std::move(name)));
    FiberThread* self = newThread.get();
    newThread->thread = std::thread([self] { self->run(); });
    return newThread;
}

FiberThread::~FiberThread() { this->stop(); }

void FiberThread::run()
{
    currentThread = this;
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(this->context);
    // The work guard keeps run_one() waiting while there is no pending operation.
    const auto guard = boost::asio::make_work_guard(*this->context);
    std::unique_lock<boost::fibers::mutex> lock(this->mutex);
    this->stopCondition.wait(lock, [this] { return this->isStopping; });
}

void FiberThread::post(std::function<void()> task)
{
    boost::asio::post(*this->context, [task = std::move(task)]() mutable { startFiber(std::move(task)); });
}

void FiberThread::stop()
{
    if (!this->thread.joinable())
        return;
    assert(currentThread != this);
    {
        const std::lock_guard<boost::fibers::mutex> lock(this->mutex);
        this->isStopping = true;
    }
    this->stopCondition.notify_all();
    this->thread.join();
}

FiberThread* FiberThread::current() { return currentThread; }

void startFiber(std::function<void()> task)
{
    boost::fibers::fiber(
        boost::fibers::launch::post, std::allocator_arg, boost::fibers::protected_fixedsize_stack(fiberStackBytes), std::move(task))
        .detach();
}

void sleepUntil(TimePoint deadline) { boost::this_fiber::sleep_until(toSteady(deadline)); }

void sleepFor(Duration duration) { boost::this_fiber::sleep_for(duration); }

DescriptorWaiter::DescriptorWaiter(int descriptor)
    : descriptor(FiberThread::current()->ioContext(), descriptor)
{
}

DescriptorWaiter::~DescriptorWaiter() { this->descriptor.release(); }

bool DescriptorWaiter::waitReadable(TimePoint deadline) { return this->wait(boost::asio::posix::descriptor_base::wait_read, deadline); }

bool DescriptorWaiter::waitWritable(TimePoint deadline) { return this->wait(boost::asio::posix::descriptor_base::wait_write, deadline); }

void DescriptorWaiter::cancel() { this->descriptor.cancel(); }

bool DescriptorWaiter::wait(boost::asio::posix::descriptor_base::wait_type type, TimePoint deadline)
{
    boost::asio::steady_timer timer(FiberThread::current()->ioContext(), toSteady(deadline));
    // The timer's handler may already be queued when the wait ends, and may run after this waiter has been destroyed.
    const auto hasFinished = std::make_shared<bool>(false);
    timer.async_wait([this, hasFinished](const boost::system::error_code& code) {
        if (!code && !*hasFinished)
            this->descriptor.cancel();
    });
    const IoOutcome outcome = awaitIo([&](auto handler) { this->descriptor.async_wait(type, std::move(handler)); });
    *hasFinished = true;
    timer.cancel();
    return !outcome.code;
}

}
