#pragma once

#include "include/net/Asio.h"

#include <functional>

namespace arbutus::net {

// Calls a function repeatedly until the timer is destroyed. Each interval begins when
// the previous call has returned.
class RepeatingTimer {
public:
    RepeatingTimer(boost::asio::io_context& context, std::chrono::milliseconds interval, std::function<void()> callback)
        : timer_(context)
        , interval_(interval)
        , callback_(std::move(callback))
    {
    }

    // The first call is made after one interval.
    void start()
    {
        timer_.expires_after(interval_);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            callback_();
            start();
        });
    }

private:
    boost::asio::steady_timer timer_;
    const std::chrono::milliseconds interval_;
    const std::function<void()> callback_;
};

} // namespace arbutus::net
