// Fuzzes the parser of release notes and applies the notes that it accepts.
#include "limpetdrum/version/ReleaseNote.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  try {
    auto Note = limpetdrum::parseReleaseNote(Text, "note");
    limpetdrum::Release Base;
    Base.Revision = Note.BaseRevision;
    auto Next = limpetdrum::applyNote(Base, Note);
    static_cast<void>(
        limpetdrum::parseRelease(limpetdrum::toYaml(Next), "release"));
  } catch (const limpetdrum::Error &) {
    return 0; // the note was rejected: the expected error
  }
  return 0;
}
