#pragma once

#include <geraniumcart/settings.h>

#include <memory>
#include <string>

namespace geraniumcart {

/// The entry daemon as an embeddable object: binds the listeners, runs the workers and the control
/// thread, and stops without cutting off requests.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Binds the listeners.
    /// @return false, with @p reason set, if an address is invalid or cannot be bound
    bool open(std::string &reason);
    /// Serves requests and blocks until a stop requested with stop() is complete.
    void run();
    /// Requests a planned stop and returns immediately. Thread-safe; may also be called from the
    /// handler of a signal set.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace geraniumcart
