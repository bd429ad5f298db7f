#ifndef LIMPETDRUM_SOAK_ENDLESSANSWER_H
#define LIMPETDRUM_SOAK_ENDLESSANSWER_H

#include <array>
#include <cstdint>
#include <string>

namespace limpetdrum::soak {

/// \brief The part of an answer that has no end.
enum class EndlessPart : std::uint8_t {
  StatusLine,
  Field,
  Fields,
  BodyToClose,
  Length,      ///< a length above any limit
  UnmetLength, ///< a length within the limits, and one byte is never sent
  Chunks,
  ChunkExtension,
  ChunkSize,
  Trailers,
  InterimAnswers,
  AnswersOfOthers, ///< with the id of another request
  AfterAnswer,     ///< bytes right behind a whole answer
  OnIdle,          ///< bytes a while after a whole answer
};

inline constexpr std::array<EndlessPart, 14> EndlessParts = {
    EndlessPart::StatusLine,     EndlessPart::Field,
    EndlessPart::Fields,         EndlessPart::BodyToClose,
    EndlessPart::Length,         EndlessPart::UnmetLength,
    EndlessPart::Chunks,         EndlessPart::ChunkExtension,
    EndlessPart::ChunkSize,      EndlessPart::Trailers,
    EndlessPart::InterimAnswers, EndlessPart::AnswersOfOthers,
    EndlessPart::AfterAnswer,    EndlessPart::OnIdle};

/// \brief Writes the bytes of one answer that does not end.
class EndlessAnswer {
public:
  /// \param Head the status line and the headers without a length, each line
  ///   with its end.
  EndlessAnswer(EndlessPart Part, const std::string &Head);

  /// \brief Returns the next bytes.
  /// \param Size at most this many.
  [[nodiscard]] std::string next(std::size_t Size);

private:
  std::string Start;            ///< written once
  std::string Repeated;         ///< written again and again
  std::size_t Limit = SIZE_MAX; ///< bytes in all
  std::size_t Written = 0;
};

} // namespace limpetdrum::soak

#endif
