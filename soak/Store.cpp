#include "Store.h"

#include <sstream>

namespace limpetdrum::soak {

namespace {

using nlohmann::json;

const std::string ObjectsPath = "/-/objects/";
constexpr Milliseconds SlowAnswer{900};

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

Store::Store(EventLoop &Loop, Endpoint Where)
    : Loop(Loop),
      Server(Loop, Where, [this](const Exchange &Who) { this->onCall(Who); }) {}

void Store::onCall(const Exchange &Who) {
  ++this->Calls;
  switch (this->Now) {
  case Mood::Sound:
    this->serve(Who);
    return;
  case Mood::Refusing:
    Who->reply(503, {}, "");
    return;
  case Mood::Silent:
    this->Unanswered.push_back(Who);
    return;
  case Mood::Losing:
    // The call takes effect; what it is told is never read.
    this->Unanswered.push_back(Who);
    if (Who->method() != "GET")
      this->serve(std::make_shared<HttpExchange>(
          Who->request(), std::weak_ptr<HttpServerConnection>()));
    return;
  case Mood::Slow:
    this->Delayed.push_back(
        this->Loop.after(SlowAnswer, [this, Who]() { this->serve(Who); }));
    return;
  }
}

void Store::serve(const Exchange &Who) {
  if (Who->path().compare(0, ObjectsPath.size(), ObjectsPath) != 0) {
    Who->reply(404, {}, "");
    return;
  }
  auto Rest = Who->path().substr(ObjectsPath.size());
  auto Slash = Rest.find('/');
  auto Kind = Rest.substr(0, Slash);
  auto Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Who->method() == "GET")
    this->read(Who, Kind, Name);
  else
    this->change(Who, Kind, Name);
}

json Store::object(const std::string &Name, const Entry &Of) const {
  return {{"metadata", {{"name", Name}, {"revision", Of.Revision}}},
          {"specification", Of.Specification}};
}

void Store::answer(const Exchange &Who, int Status, const json &Body) {
  Who->reply(Status, {{"Content-Type", "application/json"}}, Body.dump());
}

void Store::read(const Exchange &Who, const std::string &Kind,
                 const std::string &Name) {
  auto &Objects = this->Kinds[Kind];
  if (!Name.empty()) {
    auto Found = Objects.find(Name);
    if (Found == Objects.end())
      Who->reply(404, {}, "");
    else
      this->answer(Who, 200, this->object(Name, Found->second));
    return;
  }
  auto Query = parseQuery(Who->query());
  if (Query.count("watch") == 0) {
    auto Items = json::array();
    for (const auto &[Key, Of] : Objects)
      Items.push_back(this->object(Key, Of));
    this->answer(Who, 200,
                 {{"items", Items}, {"more", false}, {"at", this->Revision}});
    return;
  }
  auto After = std::stoull(Query["watch"]);
  if (After < this->HistoryFrom) {
    Who->reply(410, {}, "");
    return;
  }
  if (this->tell(Who, Kind, After))
    return;
  this->Watches.push_back({Who, Kind, After, {}});
  auto Entry = std::prev(this->Watches.end());
  Entry->Limit = this->Loop.after(
      Milliseconds(std::stoll(Query["wait-ms"])), [this, Entry]() {
        auto Ended = std::move(*Entry);
        this->Watches.erase(Entry);
        this->answer(Ended.Who, 200,
                     {{"events", json::array()}, {"at", this->Revision}});
      });
  Who->onClientDisconnect([this, Gone = Who.get()]() {
    this->Watches.remove_if(
        [&](const Watch &W) { return W.Who.get() == Gone; });
  });
}

bool Store::tell(const Exchange &Who, const std::string &Kind,
                 std::uint64_t After) {
  auto Events = json::array();
  for (const auto &C : this->History) {
    if (C.Kind != Kind || C.Revision <= After)
      continue;
    const auto &Objects = this->Kinds[Kind];
    auto Found = Objects.find(C.Name);
    Entry Shown{C.Revision, json::object()};
    if (!C.Deleted && Found != Objects.end())
      Shown = Found->second;
    Events.push_back(
        {{"object", this->object(C.Name, Shown)}, {"deleted", C.Deleted}});
  }
  if (Events.empty())
    return false;
  this->answer(Who, 200, {{"events", Events}, {"at", this->Revision}});
  return true;
}

void Store::wakeWatches() {
  this->Watches.remove_if(
      [this](Watch &W) { return this->tell(W.Who, W.Kind, W.After); });
}

void Store::write(const std::string &Kind, const std::string &Name,
                  const json &Specification) {
  this->Kinds[Kind][Name] = {++this->Revision, Specification};
  this->History.push_back({this->Revision, Kind, Name, false});
  this->wakeWatches();
}

void Store::change(const Exchange &Who, const std::string &Kind,
                   std::string Name) {
  auto &Objects = this->Kinds[Kind];
  if (Who->method() == "DELETE") {
    if (Objects.erase(Name) != 0) {
      this->History.push_back({++this->Revision, Kind, Name, true});
      this->wakeWatches();
    }
    this->answer(Who, 200, json::object());
    return;
  }
  auto Body = json::parse(Who->body(), nullptr, false);
  if (Body.is_discarded() || !Body.contains("specification")) {
    Who->reply(400, {}, "");
    return;
  }
  if (Who->method() == "POST") {
    Name = Body.at("metadata").at("name").get<std::string>();
    if (Objects.count(Name) != 0) {
      Who->reply(409, {}, "");
      return;
    }
  }
  this->write(Kind, Name, Body.at("specification"));
  this->answer(Who, 200, this->object(Name, Objects[Name]));
}

void Store::forgetHistory() {
  this->HistoryFrom = this->Revision;
  this->History.clear();
  auto Gone = std::exchange(this->Watches, {});
  for (const auto &W : Gone)
    W.Who->reply(410, {}, "");
}

} // namespace limpetdrum::soak
