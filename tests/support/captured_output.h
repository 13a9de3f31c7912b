#pragma once

#include <catch2/catch.hpp>

#include <cstdio>
#include <string>
#include <unistd.h>

namespace geraniumcart::test {

/// @return what @p write() writes to @p descriptor of this process, up to 64 KiB
template <class Write>
std::string capture(int descriptor, Write write)
{
    std::FILE *file = std::tmpfile();
    REQUIRE(file);
    const int saved = ::dup(descriptor);
    ::dup2(::fileno(file), descriptor);
    write();
    ::dup2(saved, descriptor);
    ::close(saved);
    std::string result(static_cast<std::size_t>(std::ftell(file) >= 0 ? 65536 : 0), '\0');
    std::rewind(file);
    result.resize(std::fread(result.data(), 1, result.size(), file));
    std::fclose(file);
    return result;
}

/// @return what @p write() writes to stderr
template <class Write>
std::string captureStderr(Write write)
{
    return capture(STDERR_FILENO, write);
}

} // namespace geraniumcart::test
