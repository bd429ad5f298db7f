#ifndef LIMPETDRUM_SOAK_TARGETSERVER_H
#define LIMPETDRUM_SOAK_TARGETSERVER_H

#include "EndlessAnswer.h"

#include "limpetdrum/connection/Http.h"

#include <random>
#include <set>

struct evconnlistener;

namespace limpetdrum::soak {

/// \brief How a faulty target writes an answer.
enum class AnswerStyle : std::uint8_t {
  Whole,
  CopiedAtOnce,     ///< written twice in a row
  CopiedLater,      ///< written once more within 100 ms
  CopiedBeforeNext, ///< written once more before the next answer
  Late,             ///< written up to 1.5 s after the work
  InHalves,         ///< the second half is written up to 300 ms later
  CutInHalf,        ///< the connection is reset after the first half
  Lost,             ///< the connection is reset in place of the answer
  Closed,           ///< the connection is closed in place of the answer
  WithoutLength,    ///< ends with the connection
  BeforeNoise,      ///< followed by bytes that are no answer
  Endless,          ///< does not end until the connection does
};

class TargetConnection;

/// \brief Request at a target together with the means to answer it.
class TargetExchange {
public:
  TargetExchange(HttpRequest Request, std::weak_ptr<TargetConnection> Owner);

  [[nodiscard]] const HttpRequest &request() const noexcept {
    return this->Request;
  }
  [[nodiscard]] std::string path() const;
  [[nodiscard]] std::string header(const std::string &Name) const;
  /// \brief Writes the answer in the style that is in force.
  void reply(int Status, const HttpHeaders &Headers, const std::string &Body);
  /// \brief Returns true until the answer is written or the connection ends.
  [[nodiscard]] bool isOpen() const noexcept { return !this->Ended; }
  /// \brief Calls \p Action if the connection ends before the answer.
  void onDisconnect(std::function<void()> Action);

private:
  friend class TargetConnection;
  HttpRequest Request;
  std::weak_ptr<TargetConnection> Owner;
  std::function<void()> Action;
  bool Ended = false;
};

/// \brief HTTP server of a target, which serves one request at a time on a
///   connection and can spoil its answers.
class TargetServer {
public:
  using Handler = std::function<void(std::shared_ptr<TargetExchange>)>;

  /// \throws NetworkError if \p Local cannot be bound.
  TargetServer(EventLoop &Loop, Endpoint Local, Handler Serve,
               std::uint64_t Seed);
  ~TargetServer();
  TargetServer(const TargetServer &) = delete;
  TargetServer &operator=(const TargetServer &) = delete;

  /// \brief Writes answers in a style for a while.
  /// \param Share of the answers, from 0 to 1.
  void spoil(AnswerStyle Style, double Share, Milliseconds Span);
  /// \brief Writes a share of the answers without end for a while, each in a
  ///   random part.
  /// \param IsSlow a few bytes at a time, else as fast as they are read.
  void spoilEndlessly(bool IsSlow, double Share, Milliseconds Span);

private:
  friend class TargetConnection;
  [[nodiscard]] AnswerStyle nextStyle();
  [[nodiscard]] Milliseconds randomSpan(unsigned Max);

  EventLoop &Loop;
  Handler Serve;
  std::mt19937_64 Random;
  AnswerStyle Style = AnswerStyle::Whole;
  double Share = 0;
  TimePoint SpoiledUntil{};
  bool IsSlow = false;
  using ConnectionSet = std::set<std::shared_ptr<TargetConnection>>;
  std::shared_ptr<ConnectionSet> Connections =
      std::make_shared<ConnectionSet>();
  evconnlistener *Listener = nullptr;
};

} // namespace limpetdrum::soak

#endif
