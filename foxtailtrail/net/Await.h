#pragma once

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace foxtail {

// The outcome of an asynchronous operation.
struct IoOutcome {
    boost::system::error_code code;
    size_t bytes = 0;
};

// Starts an Asio operation and blocks the calling fiber until the completion handler has run. The handler runs on the same thread, and
// the fiber resumes only after the handler has returned, so the promise may be on the fiber's stack.
template <typename Initiation> IoOutcome awaitIo(Initiation&& initiation)
{
    boost::fibers::promise<IoOutcome> promise;
    auto future = promise.get_future();
    std::forward<Initiation>(initiation)([&promise](boost::system::error_code code, auto... bytes) {
        promise.set_value(IoOutcome { code, (static_cast<size_t>(bytes) + ... + 0) });
    });
    return future.get();
}

}
