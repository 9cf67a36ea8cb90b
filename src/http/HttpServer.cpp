// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "http/HttpServer.h"

#include <restinio/all.hpp>

#include <exception>
#include <utility>

namespace stepledge::http {

namespace {

constexpr std::size_t PipelinedRequests = 16;
constexpr std::chrono::seconds IdleLimit{60};
constexpr std::size_t LongestUrl = 2048;
constexpr std::size_t LongestHeaderValue = 16384;

struct Traits : public restinio::default_single_thread_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

using Server = restinio::http_server_t<Traits>;

HttpCall readCall(const restinio::request_handle_t &request) {
  const auto &header = request->header();
  HttpCall call;
  call.Method = header.method().c_str();
  call.Path = std::string(header.path());
  header.for_each_field([&](const auto &it) {
    call.Headers.push_back({std::string(it.name()), std::string(it.value())});
  });
  call.Body = request->body();
  return call;
}

void writeReply(const restinio::request_handle_t &request, HttpReply reply) {
  const restinio::http_status_line_t status(
      restinio::http_status_code_t(static_cast<std::uint16_t>(reply.Status)),
      reply.Status < 400 ? "OK" : "Refused");
  auto response = request->create_response(status);
  response.append_header(restinio::http_field::content_type, reply.ContentType);
  for (const auto &it : reply.Headers)
    response.append_header(it.Name, it.Value);
  response.set_body(std::move(reply.Body));
  if (reply.IsLast)
    response.connection_close();
  response.done();
}

restinio::incoming_http_msg_limits_t
messageLimits(const HttpServerOptions &options) {
  return restinio::incoming_http_msg_limits_t()
      .max_url_size(LongestUrl)
      .max_field_name_size(LongestUrl)
      .max_field_value_size(LongestHeaderValue)
      .max_field_count(options.MostHeaders)
      .max_body_size(options.MostBodyBytes);
}

class HttpServer : public IHttpServer {
public:
  HttpServer(asio::io_context &context, const HttpServerOptions &options,
             ICallHandler &handler)
      : Listener(restinio::external_io_context(context),
                 [&](auto &it) { configure(it, options, handler); }) {
    Listener.open_sync();
  }

  void stopListening() override {
    if (std::exchange(Listening, false))
      Listener.close_sync();
  }

private:
  template <typename Config>
  static void configure(Config &it, const HttpServerOptions &options,
                        ICallHandler &handler) {
    it.address(options.Address)
        .port(options.Port)
        .max_pipelined_requests(PipelinedRequests)
        .read_next_http_message_timelimit(IdleLimit)
        .handle_request_timeout(options.ReplyLimit)
        .incoming_http_msg_limits(messageLimits(options))
        .request_handler([&handler](const restinio::request_handle_t &request) {
          handler.handle(readCall(request), [request](HttpReply reply) {
            writeReply(request, std::move(reply));
          });
          return restinio::request_accepted();
        });
  }

  Server Listener;
  bool Listening = true;
};

} // namespace

std::unique_ptr<IHttpServer> startHttpServer(asio::io_context &context,
                                             const HttpServerOptions &options,
                                             ICallHandler &handler) {
  return std::make_unique<HttpServer>(context, options, handler);
}

} // namespace stepledge::http
