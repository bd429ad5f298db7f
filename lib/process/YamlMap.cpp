#include "limpetdrum/process/YamlMap.h"

#include "limpetdrum/process/Error.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace limpetdrum {

namespace {

SourceLocation locate(const YAML::Node &Node, const std::string &File) {
  auto Mark = Node.Mark();
  return {File, Mark.line + 1, Mark.column + 1};
}

std::uint64_t parseNumber(const std::string &Text, SourceLocation Location,
                          std::uint64_t Min, std::uint64_t Max) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || Value < Min ||
      Value > Max)
    throw SourceError(std::move(Location),
                      "'" + Text +
                          "' is not a whole number in the range from " +
                          std::to_string(Min) + " to " + std::to_string(Max),
                      "write a whole number from " + std::to_string(Min) +
                          " to " + std::to_string(Max));
  return Value;
}

} // namespace

YAML::Node parseYaml(const std::string &Text, const std::string &File) {
  try {
    return YAML::Load(Text);
  } catch (const YAML::Exception &E) {
    throw SourceError({File, E.mark.line + 1, E.mark.column + 1},
                      "not a valid YAML document: " + E.msg,
                      "correct the syntax at this position");
  }
}

std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    throw ValueError("cannot read the file '" + Path + "'",
                     "check that the file exists and is readable");
  return Text.str();
}

YamlMap::YamlMap(const YAML::Node &Node, std::string File)
    : Node(Node), File(std::move(File)) {
  if (!this->Node.IsMap())
    throw SourceError(this->location(), "expected a mapping of keys to values",
                      "write 'key: value' lines");
  std::set<std::string> Keys;
  for (const auto &Entry : this->Node) {
    auto Key = this->scalar(Entry.first, "key");
    if (!Keys.insert(Key).second)
      throw SourceError(locate(Entry.first, this->File),
                        "the key '" + Key + "' occurs twice",
                        "remove one of the two occurrences");
  }
}

bool YamlMap::has(const std::string &Key) const {
  return this->Node[Key].IsDefined();
}

YAML::Node YamlMap::find(const std::string &Key) {
  this->KnownKeys.insert(Key);
  return this->Node[Key];
}

YAML::Node YamlMap::require(const std::string &Key) {
  auto Found = this->find(Key);
  if (!Found.IsDefined())
    throw SourceError(this->location(),
                      "the required key '" + Key + "' is missing",
                      "add a line '" + Key + ": VALUE'");
  return Found;
}

std::string YamlMap::scalar(const YAML::Node &Value,
                            const std::string &Key) const {
  if (!Value.IsScalar())
    throw SourceError(locate(Value, this->File),
                      "'" + Key +
                          "' must be a single value, not a list, a mapping or "
                          "empty",
                      "write one value");
  return Value.Scalar();
}

std::string YamlMap::text(const std::string &Key) {
  auto Found = this->require(Key);
  auto Text = this->scalar(Found, Key);
  if (Text.empty())
    throw SourceError(locate(Found, this->File),
                      "'" + Key + "' must not be empty",
                      "write a text after the colon");
  return Text;
}

std::string YamlMap::text(const std::string &Key, const std::string &Default) {
  return this->find(Key).IsDefined() ? this->text(Key) : Default;
}

std::uint64_t YamlMap::number(const std::string &Key, std::uint64_t Min,
                              std::uint64_t Max) {
  auto Found = this->require(Key);
  return parseNumber(this->scalar(Found, Key), locate(Found, this->File), Min,
                     Max);
}

std::uint64_t YamlMap::number(const std::string &Key, std::uint64_t Min,
                              std::uint64_t Max, std::uint64_t Default) {
  return this->find(Key).IsDefined() ? this->number(Key, Min, Max) : Default;
}

Milliseconds YamlMap::duration(const std::string &Key, Milliseconds Default) {
  auto Found = this->find(Key);
  if (!Found.IsDefined())
    return Default;
  auto Text = this->scalar(Found, Key);
  auto Location = locate(Found, this->File);
  constexpr std::uint64_t MaxDurationMs = 86'400'000;
  auto EndsWith = [&](const std::string &Unit) {
    return Text.size() > Unit.size() &&
           Text.compare(Text.size() - Unit.size(), Unit.size(), Unit) == 0;
  };
  auto Parse = [&](const std::string &Unit, std::uint64_t Max) {
    try {
      return parseNumber(Text.substr(0, Text.size() - Unit.size()), Location, 0,
                         Max);
    } catch (const SourceError &) {
      throw SourceError(Location,
                        "'" + Text + "' is not a valid '" + Key +
                            "': expected a whole number from 0 to " +
                            std::to_string(Max) + " with the unit " + Unit,
                        "write a duration such as 250ms or 2s");
    }
  };
  if (EndsWith("ms"))
    return Milliseconds(Parse("ms", MaxDurationMs));
  if (EndsWith("s"))
    return std::chrono::seconds(Parse("s", MaxDurationMs / 1000));
  throw SourceError(Location,
                    "'" + Text + "' is not a valid '" + Key +
                        "': expected a whole number with the unit ms or s",
                    "write a duration such as 250ms or 2s");
}

Endpoint YamlMap::endpoint(const std::string &Key) {
  auto Found = this->require(Key);
  try {
    return parseEndpoint(this->scalar(Found, Key));
  } catch (const ValueError &E) {
    throw SourceError(locate(Found, this->File), E.what(), E.remedy());
  }
}

std::size_t YamlMap::choice(const std::string &Key,
                            const std::vector<std::string> &Words,
                            std::size_t Default) {
  auto Found = this->find(Key);
  if (!Found.IsDefined())
    return Default;
  auto Text = this->scalar(Found, Key);
  std::string Choices;
  for (std::size_t I = 0; I < Words.size(); ++I) {
    if (Words[I] == Text)
      return I;
    Choices += (I == 0 ? "" : ", ") + Words[I];
  }
  throw SourceError(locate(Found, this->File),
                    "'" + Text + "' is not a valid '" + Key + "'",
                    "write one of " + Choices);
}

std::vector<YAML::Node> YamlMap::list(const std::string &Key) {
  auto Found = this->find(Key);
  std::vector<YAML::Node> Elements;
  if (!Found.IsDefined() || Found.IsNull())
    return Elements;
  if (!Found.IsSequence())
    throw SourceError(locate(Found, this->File), "'" + Key + "' must be a list",
                      "write '- VALUE' lines or [VALUE, VALUE]");
  for (const auto &Element : Found)
    Elements.push_back(Element);
  return Elements;
}

std::vector<std::string> YamlMap::texts(const std::string &Key) {
  std::vector<std::string> Texts;
  for (const auto &Element : this->list(Key))
    Texts.push_back(this->scalar(Element, Key));
  return Texts;
}

YamlMap YamlMap::map(const std::string &Key) {
  auto Found = this->find(Key);
  if (!Found.IsDefined() || Found.IsNull())
    return YamlMap(YAML::Node(YAML::NodeType::Map), this->File);
  return YamlMap(Found, this->File);
}

void YamlMap::rejectUnknownKeys() const {
  for (const auto &Entry : this->Node) {
    auto Key = Entry.first.Scalar();
    if (this->KnownKeys.count(Key) != 0)
      continue;
    std::string Names;
    for (const auto &Name : this->KnownKeys)
      Names += (Names.empty() ? "" : ", ") + Name;
    throw SourceError(locate(Entry.first, this->File),
                      "the key '" + Key + "' is unknown",
                      "remove it, or write one of the known keys " + Names);
  }
}

SourceLocation YamlMap::location(const std::string &Key) const {
  return locate(this->Node[Key], this->File);
}

SourceLocation YamlMap::location() const {
  return locate(this->Node, this->File);
}

} // namespace limpetdrum
