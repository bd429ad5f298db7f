#ifndef LIMPETDRUM_VERSION_PUBLICATION_H
#define LIMPETDRUM_VERSION_PUBLICATION_H

#include "limpetdrum/version/ReleaseNote.h"

#include <optional>
#include <string>

namespace limpetdrum {

/// \brief Publishes one note through conditional updates of one object.
///
/// The conditional update is the acceptance. An answer that was lost is
/// resolved by reading the object back: it lists the ids of its publications.
/// Takes events and gives the next step; no I/O.
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
    std::string Version; ///< the version it replaces; empty if none exists
  };
  struct Done {
    limpetdrum::Publication::Outcome Outcome;
    limpetdrum::Revision Revision; ///< accepted as, or the one that won
    std::string Message;           ///< why it was refused
  };
  /// \brief What to do next; one of the three holds a value.
  struct Step {
    std::optional<limpetdrum::Publication::Read> Read;
    std::optional<limpetdrum::Publication::Write> Write;
    std::optional<limpetdrum::Publication::Done> Done;
  };

  /// \param Note what to publish.
  /// \param Patience how many failed exchanges with the platform to bear.
  explicit Publication(ReleaseNote Note, unsigned Patience = 8);

  [[nodiscard]] Step start() const;
  /// \param Text the object, or nothing if there is none yet.
  /// \param Version its version at the platform.
  [[nodiscard]] Step onRead(const std::optional<std::string> &Text,
                            const std::string &Version);
  [[nodiscard]] Step onReadFailed();
  [[nodiscard]] Step onWritten();
  /// \brief The version had moved on.
  [[nodiscard]] Step onWriteConflict();
  /// \brief No answer came: the write may have happened.
  [[nodiscard]] Step onWriteLost();

private:
  [[nodiscard]] Step readAgain();

  ReleaseNote Note;
  unsigned Patience;
  bool WriteMayHaveHappened = false;
  Revision Attempted;
};

} // namespace limpetdrum

#endif
