// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of which instances become outliers, and how they recover.

#include "balancing/OutlierDetector.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace stepledge;
using namespace stepledge::balancing;

namespace {

/// Three instances that answer reads in turn, every 10 ms.
struct Group {
  Group() {
    for (const auto &it : {A, B, C})
      Detector.add(it);
  }
  void answer(Duration time, double a, double b, double c) {
    for (const TimePoint end = Now + time; Now < end; Now += milliseconds(10)) {
      Detector.noteAnswer(Now, A, a);
      Detector.noteAnswer(Now, B, b);
      Detector.noteAnswer(Now, C, c);
      review();
    }
  }
  void idle(Duration time) {
    for (const TimePoint end = Now + time; Now < end; Now += milliseconds(10))
      review();
  }
  void review() {
    for (const auto &it : Detector.review(Now))
      Changes.push_back(it);
  }
  bool hasFullWeights() const {
    return Detector.weight(A) == 1.0 && Detector.weight(B) == 1.0 &&
           Detector.weight(C) == 1.0;
  }
  const InstanceId A{"a"};
  const InstanceId B{"b"};
  const InstanceId C{"c"};
  TimePoint Now = TimePoint(std::chrono::seconds(10));
  OutlierDetector Detector;
  std::vector<OutlierChange> Changes;
};

} // namespace

TEST_CASE("OutlierDetector_EqualInstancesKeepAllReads") {
  Group it;
  it.answer(milliseconds(1000), 1.0, 1.4, 0.8);
  CHECK(it.hasFullWeights());
  CHECK(it.Changes.empty());
}

TEST_CASE("OutlierDetector_SlowInstanceKeepsOnlyItsProbes") {
  Group it;
  it.answer(milliseconds(200), 1.0, 1.0, 1.0);
  it.answer(milliseconds(500), 6.0, 1.0, 1.0);
  CHECK(it.Detector.weight(it.A) == OutlierOptions().MinWeight);
  CHECK(it.Detector.isSlow(it.Now, it.A));
  CHECK(it.Detector.weight(it.B) == 1.0);
  REQUIRE(it.Changes.size() == 1);
  CHECK(it.Changes[0].Instance == it.A);
  CHECK(it.Changes[0].IsOutlier);
  CHECK(it.Detector.outlierCount() == 1);
}

TEST_CASE("OutlierDetector_ReadsReturnGradually") {
  Group it;
  it.answer(milliseconds(500), 6.0, 1.0, 1.0);
  // After enough good answers it is no longer an outlier, then its reads return
  // with time.
  it.answer(milliseconds(1500), 1.0, 1.0, 1.0);
  CHECK(it.Detector.weight(it.A) > 0.3);
  CHECK(it.Detector.weight(it.A) < 0.7);
  it.answer(OutlierOptions().RecoveryTime, 1.0, 1.0, 1.0);
  CHECK(it.hasFullWeights());
  REQUIRE(it.Changes.size() == 2);
  CHECK(!it.Changes[1].IsOutlier);
  CHECK(it.Detector.outlierCount() == 0);
}

TEST_CASE("OutlierDetector_InstanceWithoutReadsIsTriedAgain") {
  Group it;
  it.answer(milliseconds(500), 6.0, 1.0, 1.0);
  it.idle(5 * OutlierOptions().HalfLife);
  CHECK(it.hasFullWeights());
}

TEST_CASE("OutlierDetector_NoOutlierIfAllAreSlowOrFail") {
  Group it;
  it.answer(milliseconds(1000), 6.0, 6.0, 6.0);
  CHECK(it.hasFullWeights());
  for (int i = 0; i < 100; ++i)
    for (const auto &id : {it.A, it.B, it.C})
      it.Detector.noteFailure(it.Now, id);
  CHECK(it.hasFullWeights());
}

TEST_CASE("OutlierDetector_AtMostOneOfThreeIsAnOutlier") {
  Group it;
  for (int i = 0; i < 50; ++i) {
    it.Detector.noteFailure(it.Now, it.A);
    it.Detector.noteAnswer(it.Now, it.B, 9.0);
    it.Detector.noteAnswer(it.Now, it.C, 1.0);
  }
  CHECK((it.Detector.weight(it.A) < 1.0) != (it.Detector.weight(it.B) < 1.0));
  CHECK(it.Detector.weight(it.C) == 1.0);
}

TEST_CASE("OutlierDetector_NewOutlierReplacesARecoveringOne") {
  Group it;
  it.answer(milliseconds(500), 6.0, 1.0, 1.0);
  it.answer(milliseconds(300), 1.0, 1.0, 1.0);
  CHECK(it.Detector.weight(it.A) < 1.0);
  it.answer(milliseconds(300), 1.0, 6.0, 1.0);
  CHECK(it.Detector.weight(it.A) == 1.0);
  CHECK(it.Detector.weight(it.B) < 0.5);
}

TEST_CASE("OutlierDetector_QuickFailuresDontCountAsFastAnswers") {
  Group it;
  for (int i = 0; i < 50; ++i) {
    it.Now += milliseconds(10);
    if (i % 5 < 2)
      it.Detector.noteFailure(it.Now, it.A);
    else
      it.Detector.noteAnswer(it.Now, it.A, 1.0);
    it.Detector.noteAnswer(it.Now, it.B, 1.0);
    it.Detector.noteAnswer(it.Now, it.C, 1.0);
  }
  CHECK(it.Detector.weight(it.A) < 0.2);
  CHECK(!it.Detector.isSlow(it.Now, it.A));
}

TEST_CASE("OutlierDetector_SingleFailureOrLongStatementReducesNoShare") {
  Group it;
  it.answer(milliseconds(200), 1.0, 1.0, 1.0);
  it.Detector.noteFailure(it.Now, it.A);
  CHECK(it.hasFullWeights());
  it.answer(milliseconds(200), 1.0, 1.0, 1.0);
  it.Detector.noteAnswer(it.Now, it.B, 6.0);
  CHECK(it.hasFullWeights());
}

TEST_CASE("OutlierDetector_SingleInstanceIsNeverAnOutlier") {
  OutlierDetector detector;
  const InstanceId id("a");
  detector.add(id);
  for (int i = 0; i < 100; ++i)
    detector.noteFailure(TimePoint{}, id);
  CHECK(detector.weight(id) == 1.0);
}

TEST_CASE("OutlierDetector_OneOfTwoMayBeAnOutlier") {
  OutlierDetector detector;
  const InstanceId a("a");
  const InstanceId b("b");
  detector.add(a);
  detector.add(b);
  for (int i = 0; i < 20; ++i) {
    detector.noteAnswer(TimePoint{}, a, 6.0);
    detector.noteAnswer(TimePoint{}, b, 1.0);
  }
  CHECK(detector.weight(a) < 0.5);
  detector.remove(b);
  CHECK(detector.weight(a) < 0.5);
  detector.review(TimePoint(std::chrono::seconds(100)));
  CHECK(detector.weight(a) == 1.0);
}

// With few reads per second, answers that were some seconds old outweighed a
// failure.
TEST_CASE("OutlierDetector_FewAnswersDetectAFailingInstance") {
  Group it;
  const auto answerEach = [&it](Duration pause, int times) {
    for (int i = 0; i < times; ++i) {
      it.Detector.noteAnswer(it.Now, it.A, 1.0);
      it.Detector.noteAnswer(it.Now, it.B, 1.0);
      it.Detector.noteAnswer(it.Now, it.C, 1.0);
      it.idle(pause);
    }
  };
  answerEach(milliseconds(700), 8);
  it.Detector.noteFailure(it.Now, it.A);
  CHECK(it.Detector.weight(it.A) < 1.0);
  it.idle(milliseconds(1000));
  CHECK(it.Detector.weight(it.A) < 0.05);
  // No more answers arrive from it, so it is tried again.
  it.idle(milliseconds(9000));
  CHECK(it.hasFullWeights());
}

TEST_CASE("OutlierDetector_OneFailureInManyReadsMakesNoOutlier") {
  Group it;
  it.answer(milliseconds(2000), 1.0, 1.0, 1.0);
  it.Detector.noteFailure(it.Now, it.A);
  it.idle(milliseconds(1000));
  CHECK(it.hasFullWeights());
}
