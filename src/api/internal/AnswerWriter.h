// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Answers and refusals as JSON.

#ifndef STEPLEDGE_API_INTERNAL_ANSWERWRITER_H
#define STEPLEDGE_API_INTERNAL_ANSWERWRITER_H

#include "http/types/HttpMessage.h"
#include "request/types/CallerAnswer.h"

#include <string>
#include <vector>

namespace stepledge::api {

http::HttpReply writeAnswer(const request::CallerAnswer &answer);
http::HttpReply writeRefusal(ResultCode code, const std::string &detail);
http::HttpReply writeExplanation(const std::string &decision,
                                 const std::vector<std::string> &lines);

} // namespace stepledge::api

#endif // STEPLEDGE_API_INTERNAL_ANSWERWRITER_H
