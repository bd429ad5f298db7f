#ifndef LIMPETDRUM_PROCESS_YAMLMAP_H
#define LIMPETDRUM_PROCESS_YAMLMAP_H

#include "limpetdrum/process/Types.h"

#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace limpetdrum {

struct SourceLocation;

/// \brief Reads a YAML document.
/// \param Text the document.
/// \param File the name that errors give.
/// \throws SourceError with the place of the first error of syntax.
[[nodiscard]] YAML::Node parseYaml(const std::string &Text,
                                   const std::string &File);

/// \brief Reads a whole file.
/// \throws ValueError if it cannot be read.
[[nodiscard]] std::string readFile(const std::string &Path);

/// \brief A YAML mapping that is read key by key, strictly.
///
/// Every key has to be asked for before rejectUnknownKeys(), which
/// refuses the rest.
/// \code
///   YamlMap Map(Document, "node.yaml");
///   auto Name = Map.text("node");
///   auto Deadline = Map.duration("deadline", Milliseconds(500));
///   Map.rejectUnknownKeys();
/// \endcode
class YamlMap {
public:
  /// \throws SourceError if \p Node is no mapping or a key stands twice.
  YamlMap(const YAML::Node &Node, std::string File);

  [[nodiscard]] bool has(const std::string &Key) const;

  /// \brief A required text that is not empty.
  [[nodiscard]] std::string text(const std::string &Key);
  [[nodiscard]] std::string text(const std::string &Key,
                                 const std::string &Default);
  /// \brief A required whole number.
  /// \throws SourceError outside of \p Least to \p Most.
  [[nodiscard]] std::uint64_t number(const std::string &Key,
                                     std::uint64_t Least, std::uint64_t Most);
  [[nodiscard]] std::uint64_t number(const std::string &Key,
                                     std::uint64_t Least, std::uint64_t Most,
                                     std::uint64_t Default);
  /// \brief A time span with its unit: `250ms`, `2s`.
  [[nodiscard]] Milliseconds duration(const std::string &Key,
                                      Milliseconds Default);
  [[nodiscard]] Endpoint endpoint(const std::string &Key);
  /// \brief One of several words; returns its place in \p Words.
  [[nodiscard]] std::size_t choice(const std::string &Key,
                                   const std::vector<std::string> &Words,
                                   std::size_t Default);
  /// \brief The elements of a list; empty if the key is missing.
  [[nodiscard]] std::vector<YAML::Node> list(const std::string &Key);
  /// \brief The texts of a list; empty if the key is missing.
  [[nodiscard]] std::vector<std::string> texts(const std::string &Key);
  /// \brief The mapping below a key; an empty one if the key is missing.
  [[nodiscard]] YamlMap map(const std::string &Key);

  /// \brief Refuses every key that nobody asked for.
  /// \throws SourceError naming the first one and the keys that are known.
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
  std::set<std::string> Known;
};

} // namespace limpetdrum

#endif
