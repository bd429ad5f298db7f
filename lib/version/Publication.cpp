#include "limpetdrum/version/Publication.h"

namespace limpetdrum {

namespace {

Publication::Step done(Publication::Outcome Outcome, Revision Revision,
                       std::string Message) {
  Publication::Step Result;
  Result.Done = Publication::Done{Outcome, Revision, std::move(Message)};
  return Result;
}

Publication::Step read() {
  Publication::Step Result;
  Result.Read = Publication::Read{};
  return Result;
}

} // namespace

Publication::Publication(ReleaseNote Note, unsigned MaxRetries)
    : Note(std::move(Note)), RetriesLeft(MaxRetries) {}

Publication::Step Publication::start() const { return read(); }

Publication::Step Publication::onRead(const std::optional<std::string> &Text,
                                      const std::string &Version) {
  Release Base;
  if (Text)
    Base = parseRelease(*Text, "release");
  for (const auto &Record : Base.Publications)
    if (Record.Id == this->Note.PublicationId)
      return done(Outcome::Accepted, Record.Revision, "");
  try {
    auto Next = applyNote(Base, this->Note);
    this->AttemptedRevision = Next.Revision;
    Step Result;
    Result.Write = Write{toYaml(Next), Version};
    return Result;
  } catch (const SourceError &E) {
    return done(Outcome::Refused, Base.Revision, E.what());
  }
}

Publication::Step Publication::onReadFailed() { return this->retryRead(); }

Publication::Step Publication::onWritten() {
  return done(Outcome::Accepted, this->AttemptedRevision, "");
}

Publication::Step Publication::onWriteConflict() { return this->retryRead(); }

Publication::Step Publication::onWriteLost() {
  this->WriteMayHaveHappened = true;
  return this->retryRead();
}

Publication::Step Publication::retryRead() {
  if (this->RetriesLeft > 0) {
    --this->RetriesLeft;
    return read();
  }
  if (this->WriteMayHaveHappened)
    return done(Outcome::Unknown, this->AttemptedRevision,
                "the platform did not answer, and the note may be in force; "
                "publish the same file again to find out");
  return done(Outcome::Refused, this->Note.BaseRevision,
              "the platform did not answer, and nothing was written; publish "
              "again when the platform answers");
}

} // namespace limpetdrum
