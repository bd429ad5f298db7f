#ifndef LIMPETDRUM_REQUEST_REQUESTFINGERPRINT_H
#define LIMPETDRUM_REQUEST_REQUESTFINGERPRINT_H

#include "limpetdrum/connection/Http.h"

namespace limpetdrum {

/// \brief Hash of what a request asks for, the same on every node.
///
/// Repetitions of a request have the same fingerprint, although each has
/// another request id, deadline and entry node.
using RequestFingerprint =
    StrongType<struct RequestFingerprintTag, std::uint64_t>;

/// \brief Returns the fingerprint of a request: of its method, host, path and
///   query, credentials and body.
[[nodiscard]] RequestFingerprint fingerprint(const HttpRequest &Request);

/// \brief Formats a fingerprint as 16 hexadecimal digits.
[[nodiscard]] std::string toString(RequestFingerprint Value);

/// \brief Parses a fingerprint of 16 hexadecimal digits.
/// \throws ValueError if \p Text has another form.
[[nodiscard]] RequestFingerprint parseFingerprint(const std::string &Text);

} // namespace limpetdrum

#endif
