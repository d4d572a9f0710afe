#pragma once

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace foxtail {

// How an asynchronous operation ended.
struct IoOutcome {
    boost::system::error_code code;
    size_t bytes = 0;
};

// Starts an Asio operation and blocks the calling fiber until its handler has run. The handler runs on the same thread,
// and the fiber resumes only after it returned, so the promise may live on the fiber's stack.
template <typename Start> IoOutcome awaitIo(Start&& start)
{
    boost::fibers::promise<IoOutcome> promise;
    auto future = promise.get_future();
    std::forward<Start>(start)([&promise](boost::system::error_code code, auto... bytes) {
        promise.set_value(IoOutcome { code, (static_cast<size_t>(bytes) + ... + 0) });
    });
    return future.get();
}

}
