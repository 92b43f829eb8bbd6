#include <common/answer_text.h>

#include <sstream>

namespace galenafork::standin
{

namespace
{

bool take(const std::string& word, const char* key, std::string& value)
{
    const std::string prefix = std::string(key) + "=";
    if (word.compare(0, prefix.size(), prefix) != 0)
    {
        return false;
    }
    value = word.substr(prefix.size());
    return true;
}

} // namespace

std::string to_string(const answer_text& text)
{
    return "service=" + text.service_.value() +
           " instance=" + text.instance_.value() + " id=" + text.id_;
}

std::optional<answer_text> parse_answer_text(const std::string& payload)
{
    std::istringstream words(payload);
    std::string service;
    std::string instance;
    std::string id;
    words >> service >> instance >> id;
    std::string service_value;
    std::string instance_value;
    answer_text result;
    if (!take(service, "service", service_value) ||
        !take(instance, "instance", instance_value) ||
        !take(id, "id", result.id_))
    {
        return std::nullopt;
    }
    result.service_ = service_name(service_value);
    result.instance_ = instance_id(instance_value);
    return result;
}

std::string photo_cell(const answer_text& text, std::size_t number)
{
    std::string cell = to_string(text) + " cell=" + std::to_string(number);
    cell.resize(photo_cell_bytes, '.');
    return cell;
}

std::string photo_bytes(const answer_text& text, std::size_t offset,
                        std::size_t size)
{
    std::string bytes;
    for (std::size_t at = offset; at < offset + size; at += photo_cell_bytes)
    {
        bytes += photo_cell(text, at / photo_cell_bytes);
    }
    return bytes;
}

std::string to_text(const byte_buffer& bytes)
{
    return {bytes.begin(), bytes.end()};
}

byte_buffer to_bytes(const std::string& text)
{
    return {text.begin(), text.end()};
}

} // namespace galenafork::standin
