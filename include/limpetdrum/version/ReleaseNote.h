#ifndef LIMPETDRUM_VERSION_RELEASENOTE_H
#define LIMPETDRUM_VERSION_RELEASENOTE_H

#include "limpetdrum/process/Error.h"
#include "limpetdrum/version/Release.h"

#include <string>
#include <vector>

namespace limpetdrum {

/// \brief A part of a note with the place it was written at.
template <typename T> struct Located {
  T Value;
  SourceLocation Location;
};

/// \brief Classes and services of one section of a note.
struct NoteSection {
  std::vector<Located<RequestClass>> Classes;
  std::vector<Located<Service>> Services;
};

/// \brief What an operator declares: added, changed and withdrawn.
struct ReleaseNote {
  /// The revision in force when the note was written.
  Revision BaseRevision;
  /// Names this publication; the same text has the same id.
  std::string PublicationId;
  SourceLocation Location;
  NoteSection Added;
  NoteSection Changed;
  std::vector<Located<std::string>> WithdrawnClasses;
  std::vector<Located<std::string>> WithdrawnServices;
};

/// \brief A note that was written against another revision.
class ConflictError : public SourceError {
public:
  ConflictError(const ReleaseNote &Note, Revision InForce);
};

/// \brief Reads a note and checks what can be checked without a release.
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
/// \throws SourceError with file, line, column and the remedy.
[[nodiscard]] ReleaseNote parseReleaseNote(const std::string &Text,
                                           const std::string &File);

/// \brief Folds a note onto the release it was written against.
/// \returns the release with the next revision.
/// \throws ConflictError if \p Base has another revision.
/// \throws SourceError if the outcome would not hold together: a class or
///   route that is called but missing, a cycle of calls, a value too large.
[[nodiscard]] Release applyNote(const Release &Base, const ReleaseNote &Note);

} // namespace limpetdrum

#endif
