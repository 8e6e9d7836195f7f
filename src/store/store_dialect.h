/// \file
/// The HTTP requests and responses by which the calls of a PlatformClient are
/// made to one kind of object store. HttpPlatform uses a dialect as its
/// strategy. NativeDialect implements docs/API.md, "Platform object API".
#ifndef BORAGEBRIDGE_STORE_STORE_DIALECT_H
#define BORAGEBRIDGE_STORE_STORE_DIALECT_H

#include "boragebridge/platform_client.h"

#include <string>

namespace boragebridge {

/// One HTTP request to a store.
struct StoreRequest {
  /// "GET", "PUT", "POST" or "DELETE".
  std::string Method;
  /// Path and query.
  std::string Target;
  std::string Body = {};
};

/// One page of a list, or the events that a watch returned.
struct StorePage {
  ObjectList Objects;
  /// The argument of list() for the next page; empty on the last page.
  std::string Next = {};
};

/// Formats requests and parses the bodies of successful responses. Stateless
/// and thread-safe. The parsers return InvalidArgument for a malformed body.
/// They do not check the values of objects; the reader of a value does. If
/// there is an eraHeader(), all versions here are revisions without an era.
class StoreDialect {
public:
  StoreDialect() = default;
  StoreDialect(const StoreDialect &) = delete;
  auto operator=(const StoreDialect &) -> StoreDialect & = delete;
  virtual ~StoreDialect() = default;

  /// Name of the header field in which each response gives the era of the
  /// store; empty if versions contain their era.
  virtual auto eraHeader() const -> std::string_view { return {}; }
  /// A cheap request for the changes below \p prefix after \p after. The store
  /// answers it without waiting for new ones; the result may be out of date.
  virtual auto poll(const std::string &prefix, ObjectVersion after) const
      -> StoreRequest = 0;
  virtual auto get(const std::string &key) const -> StoreRequest = 0;
  /// \p next is empty for the first page.
  virtual auto list(const std::string &prefix, const std::string &next) const
      -> StoreRequest = 0;
  /// Like list(), but the response may be out of date where the store can serve
  /// such a response at a lower cost.
  virtual auto snapshot(const std::string &prefix,
                        const std::string &next) const -> StoreRequest {
    return list(prefix, next);
  }
  virtual auto put(const std::string &key, const std::string &value,
                   ObjectVersion expected) const -> StoreRequest = 0;
  virtual auto remove(const std::string &key, ObjectVersion expected) const
      -> StoreRequest = 0;
  virtual auto watch(const std::string &prefix, ObjectVersion after,
                     Duration wait) const -> StoreRequest = 0;

  virtual auto parseObject(const std::string &key,
                           const std::string &body) const
      -> absl::StatusOr<StoredObject> = 0;
  /// Parses the body of a response to list(), poll() or watch() of \p prefix.
  virtual auto parsePage(const std::string &prefix,
                         const std::string &body) const
      -> absl::StatusOr<StorePage> = 0;
  /// Parses the body of a response to put() or remove().
  virtual auto parseVersion(const std::string &body) const
      -> absl::StatusOr<ObjectVersion> = 0;
};

/// The object API that this project defines.
class NativeDialect : public StoreDialect {
public:
  auto eraHeader() const -> std::string_view override { return "Store-Era"; }
  auto poll(const std::string &prefix, ObjectVersion after) const
      -> StoreRequest override;
  auto get(const std::string &key) const -> StoreRequest override;
  auto list(const std::string &prefix, const std::string &next) const
      -> StoreRequest override;
  auto put(const std::string &key, const std::string &value,
           ObjectVersion expected) const -> StoreRequest override;
  auto remove(const std::string &key, ObjectVersion expected) const
      -> StoreRequest override;
  auto watch(const std::string &prefix, ObjectVersion after,
             Duration wait) const -> StoreRequest override;
  auto parseObject(const std::string &key, const std::string &body) const
      -> absl::StatusOr<StoredObject> override;
  auto parsePage(const std::string &prefix, const std::string &body) const
      -> absl::StatusOr<StorePage> override;
  auto parseVersion(const std::string &body) const
      -> absl::StatusOr<ObjectVersion> override;
};

/// The API of a mirror, whose versions contain the era of the store.
class MirrorDialect : public NativeDialect {
public:
  auto eraHeader() const -> std::string_view override { return {}; }
};

/// The API of a mirror, for a reader that also accepts unconfirmed views.
class UnconfirmedDialect final : public MirrorDialect {
public:
  auto list(const std::string &prefix, const std::string &next) const
      -> StoreRequest override;
};

} // namespace boragebridge

#endif
