/// \file
/// How the calls of a PlatformClient look on the wire of one object store: the
/// strategy that HttpPlatform is given. NativeDialect is the API of
/// docs/API.md, "Platform object API".
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

/// One page of a list, or all events that a watch returned.
struct StorePage {
  ObjectList Objects;
  /// Empty on the last page; else what the next call passes to list().
  std::string Next = {};
};

/// Formats requests and parses the bodies of successful answers. Stateless;
/// safe from any thread. The parsers return InvalidArgument for a body that
/// cannot be read; one unreadable value in a list is left to the reader of
/// that value.
class StoreDialect {
public:
  StoreDialect() = default;
  StoreDialect(const StoreDialect &) = delete;
  auto operator=(const StoreDialect &) -> StoreDialect & = delete;
  virtual ~StoreDialect() = default;

  /// A cheap call for the changes below \p prefix after \p after; it is
  /// answered at once, and what it tells may be old.
  virtual auto poll(const std::string &prefix, ObjectVersion after) const
      -> StoreRequest = 0;
  virtual auto get(const std::string &key) const -> StoreRequest = 0;
  /// \p next is empty for the first page.
  virtual auto list(const std::string &prefix, const std::string &next) const
      -> StoreRequest = 0;
  virtual auto put(const std::string &key, const std::string &value,
                   ObjectVersion expected) const -> StoreRequest = 0;
  virtual auto remove(const std::string &key, ObjectVersion expected) const
      -> StoreRequest = 0;
  virtual auto watch(const std::string &prefix, ObjectVersion after,
                     Duration wait) const -> StoreRequest = 0;

  virtual auto parseObject(const std::string &key,
                           const std::string &body) const
      -> absl::StatusOr<StoredObject> = 0;
  /// The body of an answer to list() or watch() of \p prefix.
  virtual auto parsePage(const std::string &prefix,
                         const std::string &body) const
      -> absl::StatusOr<StorePage> = 0;
  /// The body of an answer to put() or remove().
  virtual auto parseVersion(const std::string &body) const
      -> absl::StatusOr<ObjectVersion> = 0;
};

/// The product's own object API.
class NativeDialect : public StoreDialect {
public:
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

/// The API of a mirror, for a reader that takes an unconfirmed view as well.
class UnconfirmedDialect final : public NativeDialect {
public:
  auto list(const std::string &prefix, const std::string &next) const
      -> StoreRequest override;
};

} // namespace boragebridge

#endif
