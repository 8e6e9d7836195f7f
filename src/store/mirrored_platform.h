/// \file
/// Decorates a PlatformClient: lists and watches go to a parent's mirror where
/// there is one, everything else to the store itself. A call that the parent
/// does not answer goes to the store at once, and the parent is left alone for
/// a while. A parent that is not sure of its view (FailedPrecondition) is kept
/// unless the store answers: most likely the store is away for all.
#ifndef BORAGEBRIDGE_STORE_MIRRORED_PLATFORM_H
#define BORAGEBRIDGE_STORE_MIRRORED_PLATFORM_H

#include "boragebridge/clock.h"
#include "boragebridge/platform_client.h"

#include <map>
#include <memory>
#include <optional>

namespace boragebridge {

struct MirroredPlatformOptions {
  /// Longest wait of a watch at a parent: a parent that froze is found out
  /// after this and the client's grace.
  Duration MaxParentWait = std::chrono::milliseconds(800);
  /// While the parent is not sure of its view, the store is asked for the same
  /// prefix at most once in this time: most likely it is away for all.
  Duration StoreRetryInterval = std::chrono::milliseconds(1200);
  /// How long a parent that failed is left alone.
  Duration ParentBackoff = std::chrono::seconds(3);
};

/// Which views a reader takes from a mirror.
enum class MirrorView : std::uint8_t {
  Confirmed,
  /// Also one that may be old; for a start without the store.
  Any,
};

/// Not thread-safe. Callbacks may run from within the calls of the clients
/// that it is given.
class MirroredPlatform final : public PlatformClient {
public:
  /// Makes the client of the mirror at an address.
  using ClientFactory = std::function<std::unique_ptr<PlatformClient>(
      const Endpoint &, MirrorView)>;
  /// Told when a parent is found not to answer.
  using OnParentFailed =
      std::function<void(const Endpoint &, const absl::Status &)>;

  /// \p store and \p time outlive the object.
  MirroredPlatform(PlatformClient &store, const Clock &time,
                   ClientFactory makeClient, OnParentFailed onFailed,
                   MirroredPlatformOptions opt = {});

  /// A client of the mirror at \p address, for calls of one's own.
  auto makeMirrorClient(const Endpoint &address) const
      -> std::unique_ptr<PlatformClient> {
    return MakeClient(address, MirrorView::Any);
  }
  /// Reads from \p parent from the next call on; nothing: from the store.
  auto setParent(std::optional<Endpoint> parent) -> void;

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

  /// Calls that went to the store, and to parents.
  auto storeCalls() const -> std::uint64_t { return StoreCalls; }
  auto parentCalls() const -> std::uint64_t { return ParentCalls; }
  /// Whether the next list or watch goes to a parent.
  auto hasParent() const -> bool;
  /// Whether the store itself is read: the next list or watch goes there, or
  /// one that went there is open.
  auto readsStore() const -> bool {
    return !hasParent() || *OpenStoreReads > 0;
  }

private:
  /// Asks the store instead; a watch waits for so long at most.
  using Retry = std::function<void(Duration wait, Callback<ObjectList>)>;

  /// Passes on what the parent answered; \p retry asks the store instead.
  auto withStoreFallback(const std::string &prefix, Callback<ObjectList> done,
                         Retry retry) -> Callback<ObjectList>;
  /// The parent is alive but not sure of its view, and said \p parentAnswer.
  auto listStore(const std::string &prefix, Callback<ObjectList> done) -> void;
  auto watchStore(const std::string &prefix, ObjectVersion after, Duration wait,
                  Callback<ObjectList> done) -> void;
  /// Counts the call to the store, and as open until \p done is called.
  auto countRead(Callback<ObjectList> done) -> Callback<ObjectList>;
  auto readStoreWhileUnconfirmed(const Endpoint &parent,
                                 const std::string &prefix,
                                 absl::StatusOr<ObjectList> parentAnswer,
                                 Callback<ObjectList> done, const Retry &retry)
      -> void;
  /// Whether the store may be asked for \p prefix while the parent is alive but
  /// not sure of its view. Notes it. Each prefix has its turn: one parent after
  /// the other may be in doubt, and no view may wait for all of them.
  auto mayReadStoreWhileUnconfirmed(const std::string &prefix) -> bool;

  PlatformClient &Store;
  const Clock &Time;
  ClientFactory MakeClient;
  OnParentFailed ParentFailed;
  MirroredPlatformOptions Options;
  std::optional<Endpoint> Parent;
  /// Of all parents so far, as a client that is destroyed drops its calls.
  std::map<Endpoint, std::unique_ptr<PlatformClient>> Clients;
  TimePoint ParentBackoffUntil;
  /// When the store was last asked in doubt, by prefix.
  std::map<std::string, TimePoint> LastUnconfirmedRead;
  /// Lists and watches that the store has not answered yet; outlives the
  /// object with their callbacks.
  std::shared_ptr<std::size_t> OpenStoreReads = std::make_shared<std::size_t>();
  std::uint64_t StoreCalls = 0;
  std::uint64_t ParentCalls = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
