#ifndef LIMPETDRUM_PROCESS_YAMLMAP_H
#define LIMPETDRUM_PROCESS_YAMLMAP_H

#include "limpetdrum/process/Types.h"

#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace limpetdrum {

struct SourceLocation;

/// \brief Parses a YAML document.
/// \param File the file name for errors.
/// \throws SourceError with the position of the first syntax error.
[[nodiscard]] YAML::Node parseYaml(const std::string &Text,
                                   const std::string &File);

/// \brief Reads a whole file.
/// \throws ValueError if the file cannot be read.
[[nodiscard]] std::string readFile(const std::string &Path);

/// \brief A YAML mapping that is read key by key and rejects unknown keys.
///
/// All keys must be read before the call of rejectUnknownKeys(), which rejects
/// the remaining ones. The functions that read a value throw SourceError if it
/// is missing but required, or is invalid.
/// \code
///   YamlMap Map(Document, "node.yaml");
///   auto Name = Map.text("node");
///   auto Deadline = Map.duration("deadline", Milliseconds(500));
///   Map.rejectUnknownKeys();
/// \endcode
class YamlMap {
public:
  /// \throws SourceError if \p Node is not a mapping or has a duplicate key.
  YamlMap(const YAML::Node &Node, std::string File);

  [[nodiscard]] bool has(const std::string &Key) const;

  /// \brief Returns a required, non-empty text.
  [[nodiscard]] std::string text(const std::string &Key);
  [[nodiscard]] std::string text(const std::string &Key,
                                 const std::string &Default);
  /// \brief Returns a required whole number.
  /// \throws SourceError if the value is not in the range from \p Min to
  ///   \p Max.
  [[nodiscard]] std::uint64_t number(const std::string &Key, std::uint64_t Min,
                                     std::uint64_t Max);
  [[nodiscard]] std::uint64_t number(const std::string &Key, std::uint64_t Min,
                                     std::uint64_t Max, std::uint64_t Default);
  /// \brief Returns a duration of at most a day, written with its unit as in
  ///   `250ms` or `2s`.
  [[nodiscard]] Milliseconds duration(const std::string &Key,
                                      Milliseconds Default);
  [[nodiscard]] Endpoint endpoint(const std::string &Key);
  /// \brief Returns the index in \p Words of the key's value.
  [[nodiscard]] std::size_t choice(const std::string &Key,
                                   const std::vector<std::string> &Words,
                                   std::size_t Default);
  /// \brief Returns the elements of a list; empty if the key is missing.
  [[nodiscard]] std::vector<YAML::Node> list(const std::string &Key);
  /// \brief Returns the texts of a list; empty if the key is missing.
  [[nodiscard]] std::vector<std::string> texts(const std::string &Key);
  /// \brief Returns the mapping below a key; empty if the key is missing.
  [[nodiscard]] YamlMap map(const std::string &Key);

  /// \brief Rejects keys that have not been read.
  /// \throws SourceError with the first such key and the known ones.
  void rejectUnknownKeys() const;

  [[nodiscard]] SourceLocation location(const std::string &Key) const;
  [[nodiscard]] SourceLocation location() const;

private:
  [[nodiscard]] YAML::Node find(const std::string &Key);
  [[nodiscard]] YAML::Node require(const std::string &Key);
  [[nodiscard]] std::string scalar(const YAML::Node &Node,
                                   const std::string &Key) const;

  YAML::Node Node;
  std::string File;
  std::set<std::string> KnownKeys;
};

} // namespace limpetdrum

#endif
