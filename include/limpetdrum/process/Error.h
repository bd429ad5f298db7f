#ifndef LIMPETDRUM_PROCESS_ERROR_H
#define LIMPETDRUM_PROCESS_ERROR_H

#include <stdexcept>
#include <string>

namespace limpetdrum {

/// \brief Where a value was written: a file, and a line and column from 1.
struct SourceLocation {
  std::string File;
  int Line = 0;
  int Column = 0;
};

/// \brief The base of all errors: what is wrong, and what to do about it.
class Error : public std::runtime_error {
public:
  Error(const std::string &Problem, std::string Remedy)
      : std::runtime_error(Problem + "; " + Remedy), Remedy(std::move(Remedy)) {
  }

  /// \brief What the reader can do about it.
  [[nodiscard]] const std::string &remedy() const noexcept {
    return this->Remedy;
  }

private:
  std::string Remedy;
};

/// \brief A value that does not read as its type.
class ValueError : public Error {
public:
  using Error::Error;
};

/// \brief An error in a file, with its place.
class SourceError : public Error {
public:
  SourceError(SourceLocation Where, const std::string &Problem,
              std::string Remedy)
      : Error(Where.File + ":" + std::to_string(Where.Line) + ":" +
                  std::to_string(Where.Column) + ": " + Problem,
              std::move(Remedy)),
        Where(std::move(Where)) {}

  [[nodiscard]] const SourceLocation &location() const noexcept {
    return this->Where;
  }

private:
  SourceLocation Where;
};

/// \brief An address that cannot be bound, or a socket that cannot be made.
class NetworkError : public Error {
public:
  using Error::Error;
};

} // namespace limpetdrum

#endif
