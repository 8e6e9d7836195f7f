/// \file
/// A PlatformClient whose calls a test answers one by one, in any order.
#ifndef BORAGEBRIDGE_TEST_STORE_SCRIPTED_STORE_H
#define BORAGEBRIDGE_TEST_STORE_SCRIPTED_STORE_H

#include "boragebridge/platform_client.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace boragebridge {

/// Records the calls until the test answers them. get() and remove() are never
/// answered.
class ScriptedStore final : public PlatformClient {
public:
  /// A list or a watch.
  struct ListCall {
    std::string Prefix;
    /// The version of a watch; 0 for a list.
    ObjectVersion After = 0;
    bool IsWatch = false;
    Callback<ObjectList> Done;
  };

  auto get(std::string, Callback<StoredObject>) -> void override {}
  auto list(std::string prefix, Callback<ObjectList> done) -> void override {
    OpenCalls.push_back({std::move(prefix), 0, false, std::move(done)});
  }
  auto put(std::string key, std::string, ObjectVersion,
           Callback<ObjectVersion> done) -> void override {
    Puts.emplace_back(std::move(key), std::move(done));
  }
  auto remove(std::string key, ObjectVersion expected, Callback<ObjectVersion>)
      -> void override {
    Removed.emplace_back(std::move(key), expected);
  }
  auto watch(std::string prefix, ObjectVersion after, Duration,
             Callback<ObjectList> done) -> void override {
    OpenCalls.push_back({std::move(prefix), after, true, std::move(done)});
  }

  /// Removes and returns the first open call of \p prefix. Throws when there is
  /// none.
  auto take(const std::string &prefix) -> ListCall {
    for (auto it = OpenCalls.begin(); it != OpenCalls.end(); ++it)
      if (it->Prefix == prefix) {
        auto call = std::move(*it);
        OpenCalls.erase(it);
        return call;
      }
    throw std::logic_error("no open call of " + prefix);
  }
  /// Answers the first open call of \p prefix. Throws when there is none.
  auto answer(const std::string &prefix, absl::StatusOr<ObjectList> r) -> void {
    take(prefix).Done(std::move(r));
  }

  /// Answers all calls of \p prefix that are open now, at least one.
  auto answerAll(const std::string &prefix, const absl::StatusOr<ObjectList> &r)
      -> void {
    const auto n =
        std::count_if(OpenCalls.begin(), OpenCalls.end(),
                      [&](const auto &it) { return it.Prefix == prefix; });
    answer(prefix, r);
    for (auto i = n; i > 1; --i)
      answer(prefix, r);
  }

  /// Keys passed to remove(), and the expected versions.
  std::vector<std::pair<std::string, ObjectVersion>> Removed;
  std::deque<ListCall> OpenCalls;
  std::deque<std::pair<std::string, Callback<ObjectVersion>>> Puts;
  /// Expires with the object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
