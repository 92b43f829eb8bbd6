#include <galenafork/wire.h>

namespace galenafork
{

namespace
{

constexpr std::size_t word_bytes = 8;

constexpr std::size_t round_up_to_words(std::size_t bytes)
{
    return (bytes + word_bytes - 1) / word_bytes * word_bytes;
}

// Maximum encoded size of each kind of item, in bytes.
constexpr std::size_t flow_bytes = 5 * word_bytes;
constexpr std::size_t incarnation_bytes =
    2 * word_bytes + round_up_to_words(max_name_bytes + 1);
constexpr std::size_t complete_copy_bytes = 2 * word_bytes + incarnation_bytes;
constexpr std::size_t gap_bytes = 2 * word_bytes;
constexpr std::size_t fixed_entry_bytes = 5 * word_bytes + flow_bytes +
                                          round_up_to_words(max_token_bytes) +
                                          incarnation_bytes;

// Maximum encoded size of a message without names and list items, in bytes:
// segment table, root, datagram, peer message, header, body and the tag of each
// list.
constexpr std::size_t fixed_message_bytes = 30 * word_bytes;

std::size_t max_bytes_of(const std::vector<instance_incarnation>& instances)
{
    return instances.size() * incarnation_bytes;
}

// Returns the maximum size of a message with `header` and a body with empty
// lists.
std::size_t max_bytes_of(const peer_header& header)
{
    return fixed_message_bytes + round_up_to_words(max_name_bytes + 1) +
           2 * incarnation_bytes + max_bytes_of(header.expired_members_);
}

std::size_t max_bytes_of(const journal_entry& entry)
{
    return fixed_entry_bytes + round_up_to_words(entry.answer_.size());
}

std::size_t max_bytes_of(const flow_key& /*flow*/)
{
    return flow_bytes;
}

std::size_t max_bytes_of(const complete_journal_copy& /*copy*/)
{
    return complete_copy_bytes;
}

std::size_t max_bytes_of(const journal_gap& /*gap*/)
{
    return gap_bytes;
}

// Distributes items among chunks and starts a new chunk when the last one is
// full.
template <class Message>
class chunk_splitter
{
public:
    // `empty_chunk` is a chunk without items, of at most `empty_bytes` bytes.
    chunk_splitter(Message empty_chunk, std::size_t empty_bytes)
        : empty_chunk_(std::move(empty_chunk)),
          empty_bytes_(empty_bytes), chunks_{empty_chunk_},
          used_bytes_(empty_bytes)
    {
    }

    template <class Item>
    void add(const std::vector<Item>& items, std::vector<Item> Message::*list)
    {
        for (const Item& item : items)
        {
            const std::size_t bytes = max_bytes_of(item);
            start_chunk_if_full(bytes);
            (chunks_.back().*list).push_back(item);
            used_bytes_ += bytes;
            ++item_count_;
        }
    }

    // Returns the chunks with their positions.
    std::vector<Message> finish()
    {
        const auto count = static_cast<std::uint16_t>(chunks_.size());
        std::uint16_t index = 0;
        for (Message& chunk : chunks_)
        {
            chunk.position_ = {index, count};
            ++index;
        }
        return std::move(chunks_);
    }

private:
    void start_chunk_if_full(std::size_t bytes)
    {
        const bool full = used_bytes_ + bytes > max_chunk_bytes ||
                          item_count_ == max_list_items;
        if (full && item_count_ > 0)
        {
            chunks_.push_back(empty_chunk_);
            used_bytes_ = empty_bytes_;
            item_count_ = 0;
        }
    }

    Message empty_chunk_;
    std::size_t empty_bytes_;
    std::vector<Message> chunks_;
    std::size_t used_bytes_;
    std::size_t item_count_ = 0;
};

} // namespace

std::vector<ownership_reply> split_into_chunks(const ownership_reply& whole,
                                               const peer_header& header)
{
    ownership_reply empty_chunk;
    empty_chunk.query_id_ = whole.query_id_;
    chunk_splitter<ownership_reply> chunks(empty_chunk, max_bytes_of(header));
    chunks.add(whole.flows_, &ownership_reply::flows_);
    chunks.add(whole.entries_, &ownership_reply::entries_);
    chunks.add(whole.complete_copies_, &ownership_reply::complete_copies_);
    chunks.add(whole.gaps_, &ownership_reply::gaps_);
    return chunks.finish();
}

std::vector<journal_sync> split_into_chunks(const journal_sync& whole,
                                            const peer_header& header)
{
    journal_sync empty_chunk;
    empty_chunk.sync_id_ = whole.sync_id_;
    empty_chunk.buckets_ = whole.buckets_;
    empty_chunk.expired_members_ = whole.expired_members_;
    const std::size_t empty_bytes =
        max_bytes_of(header) + max_bytes_of(whole.expired_members_) +
        round_up_to_words(whole.buckets_.size() * sizeof(std::uint16_t));
    chunk_splitter<journal_sync> chunks(empty_chunk, empty_bytes);
    chunks.add(whole.entries_, &journal_sync::entries_);
    return chunks.finish();
}

} // namespace galenafork
