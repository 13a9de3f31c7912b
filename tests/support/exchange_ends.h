#pragma once

#include "fake_fleet.h"

#include <cstddef>

namespace geraniumcart::test {

/// How an exchange with a searcher ends.
enum class ExchangeEnd { Good, Error, NotRun, OtherInstance, NotSent, Lost, Malformed };

inline void endExchange(FakeTransport &transport, std::size_t index, ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Good:
        transport.reply(index, goodReply());
        return;
    case ExchangeEnd::Error:
        transport.reply(index, errorReply());
        return;
    case ExchangeEnd::NotRun:
        transport.reply(index, notRunReply());
        return;
    case ExchangeEnd::OtherInstance:
        transport.reply(index, otherInstanceReply());
        return;
    case ExchangeEnd::NotSent:
        transport.fail(index, ExchangeFailure::NotSent);
        return;
    case ExchangeEnd::Lost:
        transport.fail(index, ExchangeFailure::Lost);
        return;
    case ExchangeEnd::Malformed:
        transport.fail(index, ExchangeFailure::Malformed);
        return;
    }
}

} // namespace geraniumcart::test
