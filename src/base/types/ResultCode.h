// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The numbered result codes, in ranges by module. docs/RESULT_CODES.md
/// is the same table as text; a test checks that they are equal.

#ifndef STEPLEDGE_BASE_TYPES_RESULTCODE_H
#define STEPLEDGE_BASE_TYPES_RESULTCODE_H

namespace stepledge {

enum class ResultCode : int {
  Done = 0,

  // 1000: settings
  SettingsInvalid = 1000,

  // 1100: session
  TokenBroken = 1100,
  TokenForged = 1101,
  TokenTooLarge = 1102,
  HistoryLost = 1103,

  // 1200: routing
  DatabaseUnknown = 1200,
  NoPrimary = 1201,
  NoInstanceFreshEnough = 1202,
  PrimaryUnconfirmed = 1203,

  // 1300: admission
  QueueFull = 1300,
  DeadlineTooNear = 1301,
  DeadlinePassed = 1302,
  Stopping = 1303,

  // 1400: request
  StatementFailed = 1400,
  StatementForbidden = 1401,
  WriteOutcomeUnknown = 1402,
  AcknowledgementMissing = 1403,
  KeyReused = 1404,
  KeyStillRunning = 1405,
  ResultTooLarge = 1406,
  UpstreamLost = 1407,
  ReplacedWhileWriting = 1408,
  ReadAbandoned = 1409,
  WriteDiscarded = 1410,
  ResultLeftOut = 1411,
  WriteNotFound = 1412,

  // 1500: transactions
  TransactionUnknown = 1500,
  TransactionBusy = 1501,
  TransactionSequence = 1502,
  TransactionIdle = 1503,
  TransactionTooLong = 1504,
  TransactionRolledBack = 1505,
  TransactionLost = 1506,
  TransactionLimit = 1507,

  // 1600: mesh
  OwnerUnreachable = 1600,
  OwnerSilent = 1601,

  // 1700: api
  BodyInvalid = 1700,
  BodyTooLarge = 1701,
  FieldMissing = 1702,
  FieldInvalid = 1703,
  TooManyParameters = 1704,
  TooManyHeaders = 1705,
  PathUnknown = 1706,
  DecisionUnknown = 1707,
  StatementTooLong = 1708,

  // 1800: upstream
  ConnectFailed = 1800,
  ConnectionClosed = 1801,

  // 1900: failover
  ReplacementGivenUp = 1900,
};

/// Whether the request took effect.
enum class ResultClass {
  Ran,
  NotRun,
  Unknown,
};

} // namespace stepledge

#endif // STEPLEDGE_BASE_TYPES_RESULTCODE_H
