#include "net/url_target.h"

#include "net/object_json.h"

#include <boost/url/parse.hpp>

#include <charconv>

namespace boragebridge {

auto UrlTarget::number(const std::string &name) const -> std::uint64_t {
  std::uint64_t n = 0;
  const auto it = Query.find(name);
  if (it != Query.end())
    std::from_chars(it->second.data(), it->second.data() + it->second.size(),
                    n);
  return n;
}

auto UrlTarget::text(const std::string &name) const -> std::string {
  const auto it = Query.find(name);
  return it == Query.end() ? "" : it->second;
}

auto parseUrlTarget(const std::string &s) -> UrlTarget {
  UrlTarget out;
  const auto url = boost::urls::parse_origin_form(s);
  if (!url)
    return out;
  out.Path = percentDecode(std::string(url->encoded_path()));
  for (const auto &it : url->params())
    out.Query[it.key] = it.value;
  return out;
}

} // namespace boragebridge
