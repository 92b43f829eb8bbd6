/// \file
/// Adapter that lets an ACE reactor call a function when a file descriptor is
/// readable.

#ifndef GALENAFORK_INPUT_HANDLER_H
#define GALENAFORK_INPUT_HANDLER_H

#include <ace/Event_Handler.h>
#include <functional>
#include <utility>

namespace galenafork
{

/// Event handler that calls a function when its file descriptor is readable.
/// Must outlive its registration with the reactor.
class input_handler final : public ACE_Event_Handler
{
public:
    explicit input_handler(std::function<void()> callback)
        : callback_(std::move(callback))
    {
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        callback_();
        return 0;
    }

private:
    std::function<void()> callback_;
};

} // namespace galenafork

#endif
