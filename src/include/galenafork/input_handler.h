/// \file
/// Lets an ACE reactor call a function when a descriptor turns readable.

#ifndef GALENAFORK_INPUT_HANDLER_H
#define GALENAFORK_INPUT_HANDLER_H

#include <ace/Event_Handler.h>
#include <functional>
#include <utility>

namespace galenafork
{

/// Calls a function when its descriptor turns readable. Must outlive its
/// registration.
class input_handler final : public ACE_Event_Handler
{
public:
    explicit input_handler(std::function<void()> act)
        : callback_(std::move(act))
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
