/// \file
/// The text by which an upstream stand-in identifies itself and the request in
/// an answer, so that callers can check where the answer came from.

#ifndef GALENAFORK_STANDINS_ANSWER_IDENTITY_H
#define GALENAFORK_STANDINS_ANSWER_IDENTITY_H

#include <galenafork/ids.h>
#include <galenafork/messages.h>

#include <cstddef>
#include <optional>
#include <string>

namespace galenafork::standin
{

/// The service and instance that answered, and the id of the answered request.
struct answer_identity
{
    service_name service_;
    instance_id instance_;
    std::string id_;

    friend bool operator==(const answer_identity& a, const answer_identity& b)
    {
        return a.service_ == b.service_ && a.instance_ == b.instance_ &&
               a.id_ == b.id_;
    }
};

/// Returns `service=SERVICE instance=INSTANCE id=ID`.
std::string to_string(const answer_identity& identity);

/// Parses the start of a payload that `to_string` has written. Returns nothing
/// if the payload has another form.
std::optional<answer_identity>
parse_answer_identity(const std::string& payload);

/// Size of a cell. A photo set is a sequence of cells, each of which holds the
/// identity of the answer and the number of the cell.
inline constexpr std::size_t photo_cell_bytes = 128;

/// Returns the cell with index `number`.
std::string photo_cell(const answer_identity& identity, std::size_t number);

/// Returns `size` bytes of a photo set from `offset` on. Both must be multiples
/// of `photo_cell_bytes`.
std::string photo_bytes(const answer_identity& identity, std::size_t offset,
                        std::size_t size);

std::string to_text(const byte_buffer& bytes);

byte_buffer to_bytes(const std::string& text);

} // namespace galenafork::standin

#endif
