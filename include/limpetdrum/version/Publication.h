#ifndef LIMPETDRUM_VERSION_PUBLICATION_H
#define LIMPETDRUM_VERSION_PUBLICATION_H

#include "limpetdrum/version/ReleaseNote.h"

#include <optional>
#include <string>

namespace limpetdrum {

/// \brief Publishes a release note by a conditional update of one object.
///
/// A note is accepted once the conditional update has succeeded. If the answer
/// is lost, the object is read again: it lists the ids of its publications.
/// Performs no I/O: takes events and returns the next step.
/// \code
///   Publication P(Note);
///   auto Step = P.start();             // Read
///   Step = P.onRead(Text, Version);    // Write, or Done
///   Step = P.onWriteLost();            // Read again
/// \endcode
class Publication {
public:
  enum class Outcome : std::uint8_t { Accepted, Refused, Unknown };

  struct Read {};
  struct Write {
    std::string Text;
    std::string Version; ///< the version to replace; empty if none exists
  };
  struct Done {
    limpetdrum::Publication::Outcome Outcome;
    limpetdrum::Revision Revision; ///< accepted as, or in force instead
    std::string Message;           ///< the reason if it was not accepted
  };
  /// \brief The next step; exactly one member has a value.
  struct Step {
    std::optional<limpetdrum::Publication::Read> Read;
    std::optional<limpetdrum::Publication::Write> Write;
    std::optional<limpetdrum::Publication::Done> Done;
  };

  /// \param Note the note to publish.
  /// \param MaxRetries the number of repeated reads of the object, after
  ///   conflicts and failed exchanges with the platform.
  explicit Publication(ReleaseNote Note, unsigned MaxRetries = 8);

  [[nodiscard]] Step start() const;
  /// \brief The object has been read.
  /// \param Text the object, or std::nullopt if it does not exist yet.
  /// \param Version its version at the platform.
  [[nodiscard]] Step onRead(const std::optional<std::string> &Text,
                            const std::string &Version);
  [[nodiscard]] Step onReadFailed();
  [[nodiscard]] Step onWritten();
  /// \brief The object had another version than the one to replace.
  [[nodiscard]] Step onWriteConflict();
  /// \brief The write was not answered and may have taken effect.
  [[nodiscard]] Step onWriteLost();

private:
  [[nodiscard]] Step retryRead();

  ReleaseNote Note;
  unsigned RetriesLeft;
  bool WriteMayHaveHappened = false;
  Revision AttemptedRevision;
};

} // namespace limpetdrum

#endif
