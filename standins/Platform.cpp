// A stand-in for the platform's object API, with versions, conditional updates
// and watches. `/control` injects the faults of the real API: outage, delay and
// lost answers.
#include "limpetdrum/Limpetdrum.h"

#include <easylogging++.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <gflags/gflags.h>
#include <iostream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(listen, "127.0.0.1:7300", "address of the object API");

namespace {

using namespace limpetdrum;
using ExchangePtr = std::shared_ptr<HttpExchange>;

std::map<std::string, std::string> parseQuery(const std::string &Text) {
  std::map<std::string, std::string> Result;
  evkeyvalq Pairs{};
  evhttp_parse_query_str(Text.c_str(), &Pairs);
  for (evkeyval *Pair = Pairs.tqh_first; Pair != nullptr;
       Pair = Pair->next.tqe_next)
    Result[Pair->key] = Pair->value;
  evhttp_clear_headers(&Pairs);
  return Result;
}

std::string quoted(std::uint64_t Version) {
  return "\"" + std::to_string(Version) + "\"";
}

class Platform {
public:
  explicit Platform(EventLoop &Loop) : Loop(Loop) {}

  void onRequest(const ExchangePtr &Exchange) {
    if (Exchange->path() == "/control") {
      this->control(Exchange);
      return;
    }
    ++this->Calls[Exchange->method()];
    if (this->Down) {
      // The request is never answered; the caller's timeout ends it.
      this->Unanswered.push_back(Exchange);
      return;
    }
    if (this->Delay.count() == 0) {
      this->serve(Exchange);
      return;
    }
    auto DelayTimer = std::make_shared<Timer>();
    *DelayTimer = this->Loop.after(
        this->Delay, [this, Exchange, DelayTimer]() { this->serve(Exchange); });
  }

private:
  struct Object {
    std::string Value;
    std::uint64_t Version = 0;
  };
  struct Watcher {
    ExchangePtr Exchange;
    std::string Name;
    Timer Timeout;
  };

  void serve(const ExchangePtr &Exchange) {
    const std::string Prefix = "/objects/";
    if (Exchange->path().compare(0, Prefix.size(), Prefix) != 0) {
      Exchange->reply(404, {}, "");
      return;
    }
    auto Name = Exchange->path().substr(Prefix.size());
    if (Exchange->method() == "PUT")
      this->put(Exchange, Name);
    else
      this->get(Exchange, Name);
  }

  void get(const ExchangePtr &Exchange, const std::string &Name) {
    auto Query = parseQuery(Exchange->query());
    auto Found = this->Objects.find(Name);
    auto Current = Found == this->Objects.end() ? std::string()
                                                : quoted(Found->second.Version);
    bool Changed = Exchange->header("If-None-Match") != Current;
    if (Query.count("wait") == 0 || Changed) {
      this->replyObject(Exchange, Name);
      return;
    }
    this->Watchers.emplace_back();
    auto Position = std::prev(this->Watchers.end());
    Position->Exchange = Exchange;
    Position->Name = Name;
    Position->Timeout = this->Loop.after(
        Milliseconds(std::stoul(Query["wait"])), [this, Position]() {
          Position->Exchange->reply(304, {}, "");
          this->Watchers.erase(Position);
        });
    Exchange->onClientDisconnect([]() {});
  }

  void replyObject(const ExchangePtr &Exchange, const std::string &Name) {
    auto Found = this->Objects.find(Name);
    if (Found == this->Objects.end())
      Exchange->reply(404, {}, "");
    else
      Exchange->reply(200, {{"ETag", quoted(Found->second.Version)}},
                      Found->second.Value);
  }

  void put(const ExchangePtr &Exchange, const std::string &Name) {
    auto Found = this->Objects.find(Name);
    bool Exists = Found != this->Objects.end();
    bool Allowed =
        Exists ? Exchange->header("If-Match") == quoted(Found->second.Version)
               : Exchange->header("If-None-Match") == "*";
    if (!Allowed) {
      Exchange->reply(412, {}, "");
      return;
    }
    auto &Object = this->Objects[Name];
    Object.Value = Exchange->body();
    Object.Version = ++this->LastVersion;
    if (this->AnswersToLose > 0) {
      --this->AnswersToLose;
      this->Unanswered.push_back(Exchange);
    } else {
      Exchange->reply(200, {{"ETag", quoted(Object.Version)}}, "");
    }
    this->notifyWatchers(Name);
  }

  void notifyWatchers(const std::string &Name) {
    for (auto It = this->Watchers.begin(); It != this->Watchers.end();) {
      auto Position = It++;
      if (Position->Name != Name)
        continue;
      this->replyObject(Position->Exchange, Name);
      this->Watchers.erase(Position);
    }
  }

  void control(const ExchangePtr &Exchange) {
    auto Query = parseQuery(Exchange->query());
    if (Query.count("down") != 0) {
      this->Down = Query["down"] == "1";
      if (this->Down)
        this->Watchers.clear();
      else
        this->Unanswered.clear();
    }
    if (Query.count("delay-ms") != 0)
      this->Delay = Milliseconds(std::stoul(Query["delay-ms"]));
    if (Query.count("lose-answers") != 0)
      this->AnswersToLose = std::stoul(Query["lose-answers"]);
    nlohmann::json Body = {{"calls", this->Calls},
                           {"watchers", this->Watchers.size()}};
    Exchange->reply(200, {}, Body.dump() + "\n");
  }

  EventLoop &Loop;
  std::map<std::string, Object> Objects;
  std::uint64_t LastVersion = 0;
  std::list<Watcher> Watchers;
  std::vector<ExchangePtr> Unanswered;
  std::map<std::string, std::uint64_t> Calls;
  bool Down = false;
  Milliseconds Delay{0};
  std::size_t AnswersToLose = 0;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("a stand-in for the platform's object API");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    EventLoop Loop;
    Platform StandIn(Loop);
    HttpServer Server(Loop, parseEndpoint(FLAGS_listen),
                      [&StandIn](const ExchangePtr &Exchange) {
                        StandIn.onRequest(Exchange);
                      });
    Loop.run();
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
}
