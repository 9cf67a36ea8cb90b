// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "http/HttpPost.h"

#include "absl/strings/str_cat.h"

#include <http_parser.h>

#include <array>
#include <memory>
#include <utility>

namespace stepledge::http {

namespace {

/// Lower ones announce that the answer is still to come.
constexpr int FirstFinalStatus = 200;

/// One call, which keeps itself until it is over.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  using OnDone = std::function<void(std::optional<int>)>;

  Exchange(asio::io_context &context, std::string request,
           std::chrono::milliseconds limit, OnDone onDone)
      : Socket(context), Timer(context, limit), Request(std::move(request)),
        Done(std::move(onDone)) {
    http_parser_init(&Parser, HTTP_RESPONSE);
    Parser.data = this;
  }

  void start(const asio::ip::tcp::endpoint &target) {
    Timer.async_wait([self = shared_from_this()](std::error_code ec) {
      if (!ec)
        self->finish(std::nullopt);
    });
    Socket.async_connect(target,
                         [self = shared_from_this()](std::error_code ec) {
                           if (ec)
                             return self->finish(std::nullopt);
                           self->send();
                         });
  }

private:
  void send() {
    asio::async_write(
        Socket, asio::buffer(Request),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (ec)
            return self->finish(std::nullopt);
          self->read();
        });
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Chunk),
        [self = shared_from_this()](std::error_code ec, std::size_t n) {
          if (ec)
            return self->finish(std::nullopt);
          self->parse(n);
        });
  }

  void parse(std::size_t n) {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_headers_complete = [](http_parser *parser) {
      static_cast<Exchange *>(parser->data)
          ->noteStatus(static_cast<int>(parser->status_code));
      return 0;
    };
    http_parser_execute(&Parser, &settings, Chunk.data(), n);
    // NOTE: what stands behind the answer is none of this call's.
    if (Status || HTTP_PARSER_ERRNO(&Parser) != HPE_OK)
      return finish(Status);
    read();
  }

  void noteStatus(int status) {
    if (!Status && status >= FirstFinalStatus)
      Status = status;
  }

  void finish(std::optional<int> status) {
    Timer.cancel();
    std::error_code ec;
    Socket.close(ec);
    if (auto done = std::exchange(Done, {}))
      done(status);
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Request;
  OnDone Done;
  http_parser Parser{};
  std::optional<int> Status;
  std::array<char, 2048> Chunk{};
};

} // namespace

void post(asio::io_context &context, const PostCall &call,
          std::function<void(std::optional<int>)> onDone) {
  std::string request =
      absl::StrCat("POST ", call.Path,
                   " HTTP/1.1\r\nHost: ", call.Target.address().to_string(),
                   ":", call.Target.port(),
                   "\r\nContent-Type: application/json\r\nContent-Length: ",
                   call.Body.size(), "\r\nConnection: close\r\n");
  for (const auto &it : call.Headers)
    absl::StrAppend(&request, it.Name, ": ", it.Value, "\r\n");
  absl::StrAppend(&request, "\r\n", call.Body);
  std::make_shared<Exchange>(context, std::move(request), call.AnswerLimit,
                             std::move(onDone))
      ->start(call.Target);
}

} // namespace stepledge::http
