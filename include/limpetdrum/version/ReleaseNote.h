#ifndef LIMPETDRUM_VERSION_RELEASENOTE_H
#define LIMPETDRUM_VERSION_RELEASENOTE_H

#include "limpetdrum/process/Error.h"
#include "limpetdrum/version/Release.h"

#include <string>
#include <vector>

namespace limpetdrum {

/// \brief A part of a note and its position in the file.
template <typename T> struct Located {
  T Value;
  SourceLocation Location;
};

/// \brief The classes and services of one section of a note.
struct NoteSection {
  std::vector<Located<RequestClass>> Classes;
  std::vector<Located<Service>> Services;
};

/// \brief Entries that an operator adds, changes and withdraws.
struct ReleaseNote {
  /// The revision in force when the note was written.
  Revision BaseRevision;
  /// Identifies this publication; equal texts have equal ids.
  std::string PublicationId;
  SourceLocation Location;
  NoteSection Added;
  NoteSection Changed;
  std::vector<Located<std::string>> WithdrawnClasses;
  std::vector<Located<std::string>> WithdrawnServices;
};

/// \brief A note written against a revision other than the one in force.
class ConflictError : public SourceError {
public:
  ConflictError(const ReleaseNote &Note, Revision InForce);
};

/// \brief Parses a note and validates what does not depend on a release.
///
/// \code
///   against: 3
///   added:
///     classes: [{name: order, importance: 1}]
///     services:
///       - name: ordering
///         routes:
///           - {path: /ordering/place, class: order, runs: once,
///              retries: 3, deadline: 2s, calls: [/delivery/slots]}
///   withdrawn:
///     services: [fax]
/// \endcode
/// \param File the file name for errors.
/// \throws SourceError if the note is invalid, with file, line, column and
///   remedy.
[[nodiscard]] ReleaseNote parseReleaseNote(const std::string &Text,
                                           const std::string &File);

/// \brief Applies a note to the release that it was written against.
/// \returns the release with the next revision.
/// \throws ConflictError if \p Base has another revision.
/// \throws SourceError if the result would be inconsistent (a missing class, a
///   call of a missing route, a cycle of calls) or too large for the platform.
[[nodiscard]] Release applyNote(const Release &Base, const ReleaseNote &Note);

} // namespace limpetdrum

#endif
