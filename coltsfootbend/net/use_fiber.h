#pragma once

// An Asio completion token that blocks the calling fiber and returns `io_result`. Use it inside `net` only.
//
//     io_result<std::size_t> got = socket.async_read_some(buffer, useFiber);

#include "coltsfootbend/net/fiber_runtime.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/error.hpp>
#include <boost/fiber/future.hpp>
#include <utility>

namespace coltsfootbend {

struct use_fiber_token { };
inline constexpr use_fiber_token useFiber;

namespace internal {

// An operation whose I/O context went away counts as aborted.
template <typename Result> Result waitFor(boost::fibers::future<Result>& future)
{
    try {
        return future.get();
    } catch (const boost::fibers::future_error&) {
        return tl::unexpected(boost::system::error_code(boost::asio::error::operation_aborted));
    }
}

} // namespace internal

} // namespace coltsfootbend

namespace boost::asio {

template <typename Value> class async_result<coltsfootbend::use_fiber_token, void(boost::system::error_code, Value)> {
public:
    using return_type = coltsfootbend::io_result<Value>;

    template <typename Initiation, typename... Args>
    static return_type initiate(Initiation&& initiation, const coltsfootbend::use_fiber_token&, Args&&... args)
    {
        boost::fibers::promise<return_type> promise;
        auto future = promise.get_future();
        std::forward<Initiation>(initiation)(
            [promise = std::move(promise)](boost::system::error_code code, Value value) mutable {
                if (code)
                    promise.set_value(tl::unexpected(code));
                else
                    promise.set_value(std::move(value));
            },
            std::forward<Args>(args)...);
        return coltsfootbend::internal::waitFor(future);
    }
};

template <> class async_result<coltsfootbend::use_fiber_token, void(boost::system::error_code)> {
public:
    using return_type = coltsfootbend::io_result<void>;

    template <typename Initiation, typename... Args>
    static return_type initiate(Initiation&& initiation, const coltsfootbend::use_fiber_token&, Args&&... args)
    {
        boost::fibers::promise<return_type> promise;
        auto future = promise.get_future();
        std::forward<Initiation>(initiation)(
            [promise = std::move(promise)](boost::system::error_code code) mutable {
                if (code)
                    promise.set_value(tl::unexpected(code));
                else
                    promise.set_value(return_type {});
            },
            std::forward<Args>(args)...);
        return coltsfootbend::internal::waitFor(future);
    }
};

} // namespace boost::asio
