#include "Store.h"

#include <algorithm>
#include <sstream>

namespace limpetdrum::soak {

namespace {

using nlohmann::json;

const std::string ObjectsPath = "/-/objects/";
const std::string EraHeader = "Store-Era";
constexpr Milliseconds SlowReplyDelay{900};

std::map<std::string, std::string> parseQuery(const std::string &Text) {
  std::map<std::string, std::string> Values;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, '&');) {
    auto Equals = Part.find('=');
    if (Equals != std::string::npos)
      Values[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  }
  return Values;
}

} // namespace

Store::Store(EventLoop &Loop, Endpoint Listen)
    : Loop(Loop), Copies({{Loop.now(), this->Revision, {}}}),
      Server(Loop, Listen,
             [this](const Exchange &Request) { this->onRequest(Request); }) {}

void Store::onRequest(const Exchange &Request) {
  ++this->Calls;
  switch (this->Mode) {
  case FailureMode::Healthy:
    this->serve(Request);
    return;
  case FailureMode::Refusing:
    this->reply(Request, 503, {});
    return;
  case FailureMode::Unresponsive:
    this->Unanswered.push_back(Request);
    return;
  case FailureMode::DroppingReplies:
    // The write takes effect, but its reply is discarded.
    this->Unanswered.push_back(Request);
    if (Request->method() != "GET")
      this->serve(std::make_shared<HttpExchange>(
          Request->request(), std::weak_ptr<HttpServerConnection>()));
    return;
  case FailureMode::Slow:
    this->Delayed.push_back(this->Loop.after(
        SlowReplyDelay, [this, Request]() { this->serve(Request); }));
    return;
  }
}

void Store::serve(const Exchange &Request) {
  if (Request->path().compare(0, ObjectsPath.size(), ObjectsPath) != 0) {
    this->reply(Request, 404, {});
    return;
  }
  auto Rest = Request->path().substr(ObjectsPath.size());
  auto Slash = Rest.find('/');
  auto Kind = Rest.substr(0, Slash);
  auto Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Request->method() == "GET")
    this->read(Request, Kind, Name);
  else
    this->change(Request, Kind, Name);
}

json Store::object(const std::string &Name, const Entry &Object) const {
  return {{"metadata", {{"name", Name}, {"revision", Object.Revision}}},
          {"specification", Object.Specification}};
}

void Store::reply(const Exchange &Request, int Status, const json &Body) {
  Request->reply(Status,
                 {{"Content-Type", "application/json"},
                  {EraHeader, std::to_string(this->Era)}},
                 Body.is_null() ? "" : Body.dump());
}

void Store::read(const Exchange &Request, const std::string &Kind,
                 const std::string &Name) {
  auto &Objects = this->Kinds[Kind];
  if (!Name.empty()) {
    auto Found = Objects.find(Name);
    if (Found == Objects.end())
      this->reply(Request, 404, {});
    else
      this->reply(Request, 200, this->object(Name, Found->second));
    return;
  }
  auto Query = parseQuery(Request->query());
  if (Query.count("watch") == 0) {
    auto Items = json::array();
    for (const auto &[Key, Object] : Objects)
      Items.push_back(this->object(Key, Object));
    this->reply(Request, 200,
                {{"items", Items}, {"more", false}, {"at", this->Revision}});
    return;
  }
  auto LastRevision = std::stoull(Query["watch"]);
  if (LastRevision < this->HistoryStart || LastRevision > this->Revision) {
    this->reply(Request, 410, {});
    return;
  }
  if (this->sendEvents(Request, Kind, LastRevision))
    return;
  this->Watches.push_back({Request, Kind, LastRevision, {}});
  auto Entry = std::prev(this->Watches.end());
  Entry->Timeout = this->Loop.after(
      Milliseconds(std::stoll(Query["wait-ms"])), [this, Entry]() {
        auto Expired = std::move(*Entry);
        this->Watches.erase(Entry);
        this->reply(Expired.Request, 200,
                    {{"events", json::array()}, {"at", this->Revision}});
      });
  Request->onClientDisconnect([this, Closed = Request.get()]() {
    this->Watches.remove_if(
        [&](const Watch &W) { return W.Request.get() == Closed; });
  });
}

bool Store::sendEvents(const Exchange &Request, const std::string &Kind,
                       std::uint64_t LastRevision) {
  auto Events = json::array();
  for (const auto &C : this->History) {
    if (C.Kind != Kind || C.Revision <= LastRevision)
      continue;
    const auto &Objects = this->Kinds[Kind];
    auto Found = Objects.find(C.Name);
    Entry Latest{C.Revision, json::object()};
    if (!C.Deleted && Found != Objects.end())
      Latest = Found->second;
    Events.push_back(
        {{"object", this->object(C.Name, Latest)}, {"deleted", C.Deleted}});
  }
  if (Events.empty())
    return false;
  this->reply(Request, 200, {{"events", Events}, {"at", this->Revision}});
  return true;
}

void Store::notifyWatches() {
  this->Watches.remove_if([this](Watch &W) {
    return this->sendEvents(W.Request, W.Kind, W.LastRevision);
  });
}

void Store::write(const std::string &Kind, const std::string &Name,
                  const json &Specification) {
  this->Kinds[Kind][Name] = {++this->Revision, Specification};
  this->onChanged({this->Revision, Kind, Name, false});
}

void Store::onChanged(const Change &Value) {
  this->History.push_back(Value);
  this->Copies.push_back({this->Loop.now(), this->Revision, this->Kinds});
  this->notifyWatches();
}

void Store::change(const Exchange &Request, const std::string &Kind,
                   std::string Name) {
  auto &Objects = this->Kinds[Kind];
  if (Request->method() == "DELETE") {
    if (Objects.erase(Name) != 0) {
      this->onChanged({++this->Revision, Kind, Name, true});
    }
    this->reply(Request, 200, json::object());
    return;
  }
  auto Body = json::parse(Request->body(), nullptr, false);
  if (Body.is_discarded() || !Body.contains("specification")) {
    this->reply(Request, 400, {});
    return;
  }
  if (Request->method() == "POST") {
    Name = Body.at("metadata").at("name").get<std::string>();
    if (Objects.count(Name) != 0) {
      this->reply(Request, 409, {});
      return;
    }
  }
  this->write(Kind, Name, Body.at("specification"));
  this->reply(Request, 200, this->object(Name, Objects[Name]));
}

void Store::expireWatches() {
  auto Expired = std::exchange(this->Watches, {});
  for (const auto &W : Expired)
    this->reply(W.Request, 410, {});
}

void Store::discardHistory() {
  this->HistoryStart = this->Revision;
  this->History.clear();
  this->expireWatches();
}

void Store::restore(Milliseconds Age) {
  auto Oldest = this->Loop.now() - Age;
  while (this->Copies.size() > 1 && this->Copies.back().Time > Oldest)
    this->Copies.pop_back();
  this->Kinds = this->Copies.back().Kinds;
  this->Revision = this->Copies.back().Revision;
  ++this->Era;
  auto IsLost = [this](const Change &C) { return C.Revision > this->Revision; };
  this->History.erase(
      std::remove_if(this->History.begin(), this->History.end(), IsLost),
      this->History.end());
  this->HistoryStart = std::min(this->HistoryStart, this->Revision);
  this->expireWatches();
}

} // namespace limpetdrum::soak
