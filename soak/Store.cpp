#include "Store.h"

#include <sstream>

namespace limpetdrum::soak {

namespace {

using nlohmann::json;

const std::string ObjectsPath = "/-/objects/";
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
    : Loop(Loop), Server(Loop, Listen, [this](const Exchange &Request) {
        this->onRequest(Request);
      }) {}

void Store::onRequest(const Exchange &Request) {
  ++this->Calls;
  switch (this->Mode) {
  case FailureMode::Healthy:
    this->serve(Request);
    return;
  case FailureMode::Refusing:
    Request->reply(503, {}, "");
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
    Request->reply(404, {}, "");
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
  Request->reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

void Store::read(const Exchange &Request, const std::string &Kind,
                 const std::string &Name) {
  auto &Objects = this->Kinds[Kind];
  if (!Name.empty()) {
    auto Found = Objects.find(Name);
    if (Found == Objects.end())
      Request->reply(404, {}, "");
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
  if (LastRevision < this->HistoryStart) {
    Request->reply(410, {}, "");
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
  this->History.push_back({this->Revision, Kind, Name, false});
  this->notifyWatches();
}

void Store::change(const Exchange &Request, const std::string &Kind,
                   std::string Name) {
  auto &Objects = this->Kinds[Kind];
  if (Request->method() == "DELETE") {
    if (Objects.erase(Name) != 0) {
      this->History.push_back({++this->Revision, Kind, Name, true});
      this->notifyWatches();
    }
    this->reply(Request, 200, json::object());
    return;
  }
  auto Body = json::parse(Request->body(), nullptr, false);
  if (Body.is_discarded() || !Body.contains("specification")) {
    Request->reply(400, {}, "");
    return;
  }
  if (Request->method() == "POST") {
    Name = Body.at("metadata").at("name").get<std::string>();
    if (Objects.count(Name) != 0) {
      Request->reply(409, {}, "");
      return;
    }
  }
  this->write(Kind, Name, Body.at("specification"));
  this->reply(Request, 200, this->object(Name, Objects[Name]));
}

void Store::discardHistory() {
  this->HistoryStart = this->Revision;
  this->History.clear();
  auto Expired = std::exchange(this->Watches, {});
  for (const auto &W : Expired)
    W.Request->reply(410, {}, "");
}

} // namespace limpetdrum::soak
