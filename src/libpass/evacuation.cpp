#include <galenafork/evacuation.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace galenafork
{

namespace
{

bool is_valid_data_centre(const std::string& name)
{
    return !name.empty() && name.size() <= max_name_bytes &&
           std::none_of(name.begin(), name.end(),
                        [](char c)
                        {
                            const auto byte = static_cast<unsigned char>(c);
                            return byte < 0x20 || byte == 0x7f;
                        });
}

} // namespace

bool is_known(const evacuation_state& state)
{
    return state.revision_ != no_object_version;
}

bool is_evacuated(const evacuation_state& state, const data_centre& dc)
{
    return std::find(state.data_centres_.begin(), state.data_centres_.end(),
                     dc) != state.data_centres_.end();
}

evacuation_update apply_evacuations(evacuation_state& current,
                                    const evacuation_state& next)
{
    if (!is_known(next) || std::tie(next.era_, next.revision_) <=
                               std::tie(current.era_, current.revision_))
    {
        return evacuation_update::ignored;
    }
    const bool same = std::is_permutation(
        current.data_centres_.begin(), current.data_centres_.end(),
        next.data_centres_.begin(), next.data_centres_.end());
    current = next;
    return same ? evacuation_update::renewed : evacuation_update::changed;
}

evacuation_names select_evacuations(const std::vector<std::string>& names,
                                    const std::set<data_centre>& known)
{
    std::set<data_centre> valid;
    evacuation_names result;
    for (const std::string& name : names)
    {
        if (is_valid_data_centre(name))
        {
            valid.insert(data_centre(name));
        }
        else
        {
            ++result.ignored_;
        }
    }
    std::vector<data_centre>& selected = result.data_centres_;
    std::set_intersection(valid.begin(), valid.end(), known.begin(),
                          known.end(), std::back_inserter(selected));
    std::set_difference(valid.begin(), valid.end(), known.begin(), known.end(),
                        std::back_inserter(selected));
    if (selected.size() > max_evacuated_data_centres)
    {
        result.ignored_ += selected.size() - max_evacuated_data_centres;
        selected.resize(max_evacuated_data_centres);
    }
    std::sort(selected.begin(), selected.end());
    return result;
}

} // namespace galenafork
