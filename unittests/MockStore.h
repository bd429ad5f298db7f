#ifndef LIMPETDRUM_UNITTESTS_MOCKSTORE_H
#define LIMPETDRUM_UNITTESTS_MOCKSTORE_H

#include "limpetdrum/connection/ObjectStore.h"

#include <catch2/catch.hpp>

#include <catch2/trompeloeil.hpp>

namespace limpetdrum::test {

/// \brief Mock of the platform's object store.
class MockStore : public ObjectStore {
public:
  MAKE_MOCK4(list, void(const std::string &, bool, const char *, ListDone),
             override);
  MAKE_MOCK4(get,
             void(const std::string &, const std::string &, const char *,
                  ListDone),
             override);
  MAKE_MOCK6(watch,
             void(const std::string &, std::uint64_t, StoreEra, Milliseconds,
                  const char *, ListDone),
             override);
  MAKE_MOCK4(put,
             void(const std::string &, const StoredObject &, const char *,
                  WriteDone),
             override);
  MAKE_MOCK5(remove,
             void(const std::string &, const std::string &, std::uint64_t,
                  const char *, WriteDone),
             override);
};

} // namespace limpetdrum::test

#endif
