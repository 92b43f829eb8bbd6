#include <galenafork/wire.h>

namespace galenafork
{

namespace
{

constexpr std::size_t word_bytes = 8;

constexpr std::size_t whole_words(std::size_t bytes)
{
    return (bytes + word_bytes - 1) / word_bytes * word_bytes;
}

// Upper bounds of what each item takes in a message, in bytes.
constexpr std::size_t flow_bytes = 5 * word_bytes;
constexpr std::size_t life_bytes =
    2 * word_bytes + whole_words(max_name_bytes + 1);
constexpr std::size_t mark_bytes = 2 * word_bytes + life_bytes;
constexpr std::size_t gap_bytes = 2 * word_bytes;
constexpr std::size_t fixed_entry_bytes =
    5 * word_bytes + flow_bytes + whole_words(max_token_bytes) + life_bytes;

// Upper bound of a message less names and list items: segment table, root,
// datagram, peer message, header, body and the tag of each list.
constexpr std::size_t fixed_message_bytes = 30 * word_bytes;

std::size_t bytes_of(const std::vector<instance_incarnation>& lives)
{
    return lives.size() * life_bytes;
}

// Upper bound of a message with this header and empty lists.
std::size_t bytes_of(const peer_header& header)
{
    return fixed_message_bytes + whole_words(max_name_bytes + 1) +
           2 * life_bytes + bytes_of(header.expired_members_);
}

std::size_t bytes_of(const journal_entry& entry)
{
    return fixed_entry_bytes + whole_words(entry.answer_.size());
}

std::size_t bytes_of(const flow_key& /*flow*/)
{
    return flow_bytes;
}

std::size_t bytes_of(const complete_journal_copy& /*mark*/)
{
    return mark_bytes;
}

std::size_t bytes_of(const journal_gap& /*gap*/)
{
    return gap_bytes;
}

// Gathers items into parts, starting a new part when one is full.
template <class Message>
class splitter
{
public:
    // `empty` is a part without items, and takes `used` bytes.
    splitter(Message empty, std::size_t used)
        : empty_(std::move(empty)), empty_bytes_(used), parts_{empty_},
          used_(used)
    {
    }

    template <class Item>
    void add(const std::vector<Item>& items, std::vector<Item> Message::*list)
    {
        for (const Item& item : items)
        {
            const std::size_t bytes = bytes_of(item);
            make_room(bytes);
            (parts_.back().*list).push_back(item);
            used_ += bytes;
            ++items_;
        }
    }

    // The parts, each with its position.
    std::vector<Message> finish()
    {
        const auto count = static_cast<std::uint16_t>(parts_.size());
        std::uint16_t index = 0;
        for (Message& part : parts_)
        {
            part.position_ = {index, count};
            ++index;
        }
        return std::move(parts_);
    }

private:
    void make_room(std::size_t bytes)
    {
        const bool full =
            used_ + bytes > max_chunk_bytes || items_ == max_list_items;
        if (full && items_ > 0)
        {
            parts_.push_back(empty_);
            used_ = empty_bytes_;
            items_ = 0;
        }
    }

    Message empty_;
    std::size_t empty_bytes_;
    std::vector<Message> parts_;
    std::size_t used_;
    std::size_t items_ = 0;
};

} // namespace

std::vector<ownership_reply> split_into_chunks(const ownership_reply& whole,
                                               const peer_header& header)
{
    ownership_reply empty;
    empty.query_id_ = whole.query_id_;
    splitter<ownership_reply> parts(empty, bytes_of(header));
    parts.add(whole.flows_, &ownership_reply::flows_);
    parts.add(whole.entries_, &ownership_reply::entries_);
    parts.add(whole.complete_copies_, &ownership_reply::complete_copies_);
    parts.add(whole.gaps_, &ownership_reply::gaps_);
    return parts.finish();
}

std::vector<journal_sync> split_into_chunks(const journal_sync& whole,
                                            const peer_header& header)
{
    journal_sync empty;
    empty.sync_id_ = whole.sync_id_;
    empty.buckets_ = whole.buckets_;
    empty.expired_members_ = whole.expired_members_;
    const std::size_t used =
        bytes_of(header) + bytes_of(whole.expired_members_) +
        whole_words(whole.buckets_.size() * sizeof(std::uint16_t));
    splitter<journal_sync> parts(empty, used);
    parts.add(whole.entries_, &journal_sync::entries_);
    return parts.finish();
}

} // namespace galenafork
