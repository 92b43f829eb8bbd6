#include <common/answer_identity.h>

#include <sstream>

namespace galenafork::standin
{

namespace
{

// Extracts the value of `word` if it has the form `KEY=VALUE`; returns false
// otherwise.
bool parse_field(const std::string& word, const char* key, std::string& value)
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

std::string to_string(const answer_identity& identity)
{
    return "service=" + identity.service_.value() +
           " instance=" + identity.instance_.value() + " id=" + identity.id_;
}

std::optional<answer_identity> parse_answer_identity(const std::string& payload)
{
    std::istringstream words(payload);
    std::string service;
    std::string instance;
    std::string id;
    words >> service >> instance >> id;
    std::string service_value;
    std::string instance_value;
    answer_identity result;
    if (!parse_field(service, "service", service_value) ||
        !parse_field(instance, "instance", instance_value) ||
        !parse_field(id, "id", result.id_))
    {
        return std::nullopt;
    }
    result.service_ = service_name(service_value);
    result.instance_ = instance_id(instance_value);
    return result;
}

std::string photo_cell(const answer_identity& identity, std::size_t number)
{
    std::string cell = to_string(identity) + " cell=" + std::to_string(number);
    cell.resize(photo_cell_bytes, '.');
    return cell;
}

std::string photo_bytes(const answer_identity& identity, std::size_t offset,
                        std::size_t size)
{
    std::string bytes;
    for (std::size_t cell_offset = offset; cell_offset < offset + size;
         cell_offset += photo_cell_bytes)
    {
        bytes += photo_cell(identity, cell_offset / photo_cell_bytes);
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
