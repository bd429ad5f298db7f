#ifndef LIMPETDRUM_PROCESS_TYPES_H
#define LIMPETDRUM_PROCESS_TYPES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace limpetdrum {

/// \brief A value whose type prevents mixing it up with values of other kinds.
///
/// \code
///   Revision Old{4};
///   Revision New{5};
///   assert(Old < New);
/// \endcode
template <typename Tag, typename Rep> class StrongType {
public:
  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep Value) : Value(std::move(Value)) {}

  [[nodiscard]] constexpr const Rep &value() const noexcept {
    return this->Value;
  }

  friend bool operator==(const StrongType &A, const StrongType &B) {
    return A.Value == B.Value;
  }
  friend bool operator!=(const StrongType &A, const StrongType &B) {
    return A.Value != B.Value;
  }
  friend bool operator<(const StrongType &A, const StrongType &B) {
    return A.Value < B.Value;
  }
  friend bool operator>(const StrongType &A, const StrongType &B) {
    return B < A;
  }
  friend bool operator<=(const StrongType &A, const StrongType &B) {
    return !(B < A);
  }
  friend bool operator>=(const StrongType &A, const StrongType &B) {
    return !(A < B);
  }

private:
  Rep Value{};
};

/// \brief Name of a node, unique in the fleet and kept across restarts.
using NodeId = StrongType<struct NodeIdTag, std::string>;
/// \brief Number of a node's process; a later process has a higher one.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// \brief Ordinal of an accepted release note; never decreases.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
/// \brief Name of a service in the call graph.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/// \brief Name of a failure domain (zone).
using FailureDomain = StrongType<struct FailureDomainTag, std::string>;
/// \brief Name of a region, which contains failure domains.
using Region = StrongType<struct RegionTag, std::string>;
/// \brief Name of an organisation (customer).
using Organisation = StrongType<struct OrganisationTag, std::string>;
/// \brief Key under which a client's retries count as the same request.
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;
/// \brief Rank of a request class by what it earns; 0 is shed last.
using ClassRank = StrongType<struct ClassRankTag, std::uint8_t>;
/// \brief Number of requests that a target serves concurrently.
using Slots = StrongType<struct SlotsTag, std::uint16_t>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
/// \brief Time on a monotonic clock; passed to decision code, which never
///   reads a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

/// \brief Identifier of one attempt to run a request at one node.
struct AttemptId {
  Incarnation Caller;
  std::uint64_t Sequence = 0;

  friend bool operator==(const AttemptId &A, const AttemptId &B) {
    return A.Caller == B.Caller && A.Sequence == B.Sequence;
  }
  friend bool operator<(const AttemptId &A, const AttemptId &B) {
    return std::tie(A.Caller, A.Sequence) < std::tie(B.Caller, B.Sequence);
  }
};

/// \brief Identifier of a whole request, passed along its chain of calls.
struct RootId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
};

/// \brief An IPv4 address and port, in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  friend bool operator==(const Endpoint &A, const Endpoint &B) {
    return A.Address == B.Address && A.Port == B.Port;
  }
  friend bool operator!=(const Endpoint &A, const Endpoint &B) {
    return !(A == B);
  }
};

/// \brief Hashes bytes; the result is the same on every node and in every run.
/// \param Seed separates hashes of the same bytes for different uses.
[[nodiscard]] std::uint64_t stableHash(const std::string &Bytes,
                                       std::uint64_t Seed = 0) noexcept;

/// \brief Returns an identifier for one process of one node.
///
/// Depends on the node's name too: processes of two nodes may start at the
/// same moment.
[[nodiscard]] Incarnation callerKey(const NodeId &Node, Incarnation Current);

/// \brief Formats an endpoint as `a.b.c.d:port`.
[[nodiscard]] std::string toString(Endpoint Value);

/// \brief Formats the address of an endpoint as `a.b.c.d`.
[[nodiscard]] std::string addressToString(Endpoint Value);

/// \brief Parses `a.b.c.d:port`, with a port from 1 to 65535.
/// \throws ValueError if \p Text has another form.
[[nodiscard]] Endpoint parseEndpoint(const std::string &Text);

/// \brief Formats an attempt id as 32 hexadecimal digits.
[[nodiscard]] std::string toString(AttemptId Value);

/// \brief Parses an attempt id of 32 hexadecimal digits.
/// \throws ValueError if \p Text has another form.
[[nodiscard]] AttemptId parseAttemptId(const std::string &Text);

} // namespace limpetdrum

template <typename Tag, typename Rep>
struct std::hash<limpetdrum::StrongType<Tag, Rep>> {
  std::size_t
  operator()(const limpetdrum::StrongType<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>()(Id.value());
  }
};

template <> struct std::hash<limpetdrum::AttemptId> {
  std::size_t operator()(const limpetdrum::AttemptId &Id) const noexcept {
    return Id.Caller.value() * 0x9e3779b97f4a7c15U ^ Id.Sequence;
  }
};

#endif
