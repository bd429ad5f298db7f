#ifndef LIMPETDRUM_LIB_VERSION_RELEASEYAML_H
#define LIMPETDRUM_LIB_VERSION_RELEASEYAML_H

#include "limpetdrum/process/YamlMap.h"
#include "limpetdrum/version/ReleaseNote.h"

namespace limpetdrum::impl {

/// \brief Parses the keys `classes` and `services` of \p Map.
/// \throws SourceError if they are malformed.
[[nodiscard]] NoteSection readSection(YamlMap &Map, const std::string &File);

} // namespace limpetdrum::impl

#endif
