#include "limpetdrum/connection/PlatformClient.h"

namespace limpetdrum {

namespace {

constexpr Milliseconds CallTimeout{2000};
/// Time added to the limit of a watch for the transfer of its answer.
constexpr Milliseconds WatchTimeoutMargin{1000};

PlatformObject toObject(const HttpResponse &Response) {
  PlatformObject Object;
  if (Response.Outcome != HttpOutcome::Answered)
    return Object;
  Object.HasUsableAnswer = Response.Status == 200 || Response.Status == 404 ||
                           Response.Status == 304;
  if (Response.Status != 200)
    return Object;
  Object.Value = Response.Body;
  Object.Version = Response.header("ETag");
  return Object;
}

} // namespace

PlatformClient::PlatformClient(EventLoop &Loop, Endpoint Platform)
    : Client(Loop, Platform) {}

void PlatformClient::read(const std::string &Name, ReadDone Done) {
  ++this->Calls;
  HttpCall Call;
  Call.Path = "/objects/" + Name;
  Call.Timeout = CallTimeout;
  this->Client.send(
      Call, [Done](const HttpResponse &Response) { Done(toObject(Response)); });
}

void PlatformClient::watch(const std::string &Name, const std::string &Version,
                           Milliseconds Limit, ReadDone Done) {
  ++this->Calls;
  HttpCall Call;
  Call.Path = "/objects/" + Name + "?wait=" + std::to_string(Limit.count());
  if (!Version.empty())
    Call.Headers.emplace_back("If-None-Match", Version);
  Call.Timeout = Limit + WatchTimeoutMargin;
  this->Client.send(
      Call, [Done](const HttpResponse &Response) { Done(toObject(Response)); });
}

void PlatformClient::write(const std::string &Name, const std::string &Value,
                           const std::string &Version, WriteDone Done) {
  ++this->Calls;
  HttpCall Call;
  Call.Method = "PUT";
  Call.Path = "/objects/" + Name;
  Call.Body = Value;
  Call.Timeout = CallTimeout;
  if (Version.empty())
    Call.Headers.emplace_back("If-None-Match", "*");
  else
    Call.Headers.emplace_back("If-Match", Version);
  this->Client.send(Call, [Done](const HttpResponse &Response) {
    bool Answered = Response.Outcome == HttpOutcome::Answered;
    if (Answered && Response.Status == 412)
      Done(PlatformWrite::Conflict);
    else if (Answered && (Response.Status == 200 || Response.Status == 201))
      Done(PlatformWrite::Done);
    else
      Done(PlatformWrite::Lost);
  });
}

} // namespace limpetdrum
