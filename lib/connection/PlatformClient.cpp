#include "limpetdrum/connection/PlatformClient.h"

namespace limpetdrum {

namespace {

constexpr Milliseconds CallLimit{2000};
constexpr Milliseconds WatchSlack{1000};

PlatformObject toObject(const HttpResponse &Answer) {
  PlatformObject Object;
  if (Answer.Outcome != HttpOutcome::Answered)
    return Object;
  Object.Reached =
      Answer.Status == 200 || Answer.Status == 404 || Answer.Status == 304;
  if (Answer.Status != 200)
    return Object;
  Object.Value = Answer.Body;
  Object.Version = Answer.header("ETag");
  return Object;
}

} // namespace

PlatformClient::PlatformClient(EventLoop &Loop, Endpoint Platform)
    : Client(Loop, Platform) {}

void PlatformClient::read(const std::string &Name, ReadDone Done) {
  ++this->Calls;
  HttpCall Call;
  Call.Path = "/objects/" + Name;
  Call.Timeout = CallLimit;
  this->Client.send(
      Call, [Done](const HttpResponse &Answer) { Done(toObject(Answer)); });
}

void PlatformClient::watch(const std::string &Name, const std::string &Version,
                           Milliseconds Limit, ReadDone Done) {
  ++this->Calls;
  HttpCall Call;
  Call.Path = "/objects/" + Name + "?wait=" + std::to_string(Limit.count());
  if (!Version.empty())
    Call.Headers.emplace_back("If-None-Match", Version);
  Call.Timeout = Limit + WatchSlack;
  this->Client.send(
      Call, [Done](const HttpResponse &Answer) { Done(toObject(Answer)); });
}

void PlatformClient::write(const std::string &Name, const std::string &Value,
                           const std::string &Version, WriteDone Done) {
  ++this->Calls;
  HttpCall Call;
  Call.Method = "PUT";
  Call.Path = "/objects/" + Name;
  Call.Body = Value;
  Call.Timeout = CallLimit;
  if (Version.empty())
    Call.Headers.emplace_back("If-None-Match", "*");
  else
    Call.Headers.emplace_back("If-Match", Version);
  this->Client.send(Call, [Done](const HttpResponse &Answer) {
    bool Answered = Answer.Outcome == HttpOutcome::Answered;
    if (Answered && Answer.Status == 412)
      Done(PlatformWrite::Conflict);
    else if (Answered && (Answer.Status == 200 || Answer.Status == 201))
      Done(PlatformWrite::Done);
    else
      Done(PlatformWrite::Lost);
  });
}

} // namespace limpetdrum
