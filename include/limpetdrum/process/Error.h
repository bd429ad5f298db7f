#ifndef LIMPETDRUM_PROCESS_ERROR_H
#define LIMPETDRUM_PROCESS_ERROR_H

#include <stdexcept>
#include <string>

namespace limpetdrum {

/// \brief Position in a source file; lines and columns count from 1.
struct SourceLocation {
  std::string File;
  int Line = 0;
  int Column = 0;
};

/// \brief Base class of all errors; holds the problem and its remedy.
class Error : public std::runtime_error {
public:
  Error(const std::string &Problem, std::string Remedy)
      : std::runtime_error(Problem + "; " + Remedy), Remedy(std::move(Remedy)) {
  }

  /// \brief Returns the action that resolves the problem.
  [[nodiscard]] const std::string &remedy() const noexcept {
    return this->Remedy;
  }

private:
  std::string Remedy;
};

/// \brief An invalid value, such as a text that cannot be parsed as its type.
class ValueError : public Error {
public:
  using Error::Error;
};

/// \brief An error at a position in a source file.
class SourceError : public Error {
public:
  SourceError(SourceLocation Location, const std::string &Problem,
              std::string Remedy)
      : Error(Location.File + ":" + std::to_string(Location.Line) + ":" +
                  std::to_string(Location.Column) + ": " + Problem,
              std::move(Remedy)),
        Location(std::move(Location)) {}

  [[nodiscard]] const SourceLocation &location() const noexcept {
    return this->Location;
  }

private:
  SourceLocation Location;
};

/// \brief An address that cannot be bound or a socket that cannot be created.
class NetworkError : public Error {
public:
  using Error::Error;
};

} // namespace limpetdrum

#endif
