/// \file
/// What upstream stand-ins write into answers and callers check: who answered,
/// and to what.

#ifndef GALENAFORK_STANDINS_ANSWER_TEXT_H
#define GALENAFORK_STANDINS_ANSWER_TEXT_H

#include <galenafork/ids.h>
#include <galenafork/messages.h>

#include <cstddef>
#include <optional>
#include <string>

namespace galenafork::standin
{

/// Who answered, and the id of the request that was answered.
struct answer_text
{
    service_name service_;
    instance_id instance_;
    std::string id_;

    friend bool operator==(const answer_text& a, const answer_text& b)
    {
        return a.service_ == b.service_ && a.instance_ == b.instance_ &&
               a.id_ == b.id_;
    }
};

/// `service=S instance=I id=X`.
std::string to_string(const answer_text& text);

/// Reads the start of a payload; nothing if it is not of that form.
std::optional<answer_text> parse_answer_text(const std::string& payload);

/// A photo is a row of cells of that many bytes, each with the answer text and
/// its own number.
inline constexpr std::size_t photo_cell_bytes = 128;

/// The cell of that number.
std::string photo_cell(const answer_text& text, std::size_t number);

/// `size` bytes of a photo from `offset` on, both whole cells.
std::string photo_bytes(const answer_text& text, std::size_t offset,
                        std::size_t size);

/// The bytes as text.
std::string to_text(const byte_buffer& bytes);

/// The text as bytes.
byte_buffer to_bytes(const std::string& text);

} // namespace galenafork::standin

#endif
