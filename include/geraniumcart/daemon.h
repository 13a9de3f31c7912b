#pragma once

#include <geraniumcart/settings.h>

#include <memory>
#include <string>

namespace geraniumcart {

/// The entry daemon as an embeddable object.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Binds the listeners. @return false with @p reason if an address cannot be bound.
    bool open(std::string &reason);
    /// Serves until stop() has run to its end. Blocks.
    void run();
    /// Starts a planned stop; may be called from any thread or signal set.
    void stop();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace geraniumcart
