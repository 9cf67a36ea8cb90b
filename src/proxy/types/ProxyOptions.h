// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The tunable settings of the proxy.

#ifndef STEPLEDGE_PROXY_TYPES_PROXYOPTIONS_H
#define STEPLEDGE_PROXY_TYPES_PROXYOPTIONS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <string>

namespace stepledge::proxy {

struct ProxyOptions {
  HallId OwnHall;
  /// The address at which other VMs reach this one.
  std::string OwnIp;
  /// A read without an answer for this long is sent to another instance: about
  /// five times the usual answer time.
  Duration ReadRetryAfter = milliseconds(180);
  /// The maximum number of times a statement without an answer is sent: two
  /// waits of ReadRetryAfter take up much of the latency objectives, which are
  /// some 150 to 600 ms.
  int MaxUnansweredSends = 2;
  /// The share of reads that may be sent again before ReadRetryAfter, so that
  /// retries can't overload the siblings. Retries after ReadRetryAfter use up
  /// the budget too, but are never refused.
  double ReadRetryShare = 0.05;
  /// The burst of such retries: a VM with few reads may retry some, and the
  /// bursts of many VMs together don't overload an instance.
  double ReadRetryBurst = 2;
  /// The pause before a statement that only the primary may run is sent again,
  /// times the number of sends up to MaxPauseFactor; none after a lender's
  /// refusal. After a busy reply in an open transaction it doesn't grow.
  Duration RetryPause = milliseconds(25);
  /// How often the primary is asked for its position when no statement returned
  /// one: bounded reads need one younger than their staleness.
  Duration ProofInterval = milliseconds(450);
  /// How often all instances of a service are asked whether they are the
  /// primary, while none is known: a few answer times.
  Duration SearchInterval = milliseconds(100);
  /// Reads wait this long for a position that has been requested, and go to the
  /// primary after that: a few round trips and a short queue at a lender.
  Duration ProofWait = milliseconds(80);
  /// Subtracted from a route's staleness limit for the time that a read waits
  /// in queues.
  Duration StalenessMargin = milliseconds(250);
  /// A read waits this long for a connection in its own hall before it uses
  /// another hall: about the usual answer time. Together with the shares by
  /// hall this reduces the bytes between halls by a fifth.
  Duration LocalityWait = milliseconds(15);
  /// A statement waits this long before a connection beyond the share that is
  /// kept open is opened for it, unless open transactions hold all connections:
  /// about the usual answer time.
  Duration ExtraConnectionDelay = milliseconds(20);
  /// A connection beyond the share that is kept open is closed after this idle
  /// time.
  Duration SpareConnectionLifetime = milliseconds(3000);
  /// The same for a connection of a non-home VM.
  Duration NonHomeLifetime = milliseconds(1000);
  /// A connection on which an abandoned command has no answer after this time
  /// is closed.
  Duration AbandonedLifetime = milliseconds(2500);
  /// The same where the instance has answered statements that were sent later
  /// on other connections: a few statement times, so that the connection is
  /// replaced before many statements run into it.
  Duration SuspectLifetime = milliseconds(600);
  /// An open transaction is aborted after this time without an answer, but not
  /// before SilentTransactionFactor times the instance's answer time, if
  /// statements sent later have an answer, or if the direct path is lost and
  /// nothing was received since; not during a commit or on a borrowed
  /// connection. The client can then repeat the whole transaction; after the
  /// route's timeout it would have no time left for that.
  Duration SilentTransactionLimit = milliseconds(250);
  int SilentTransactionFactor = 8;
  /// An instance that takes longer to accept a connection counts as
  /// unreachable.
  Duration ConnectTimeout = milliseconds(350);
  /// A lender that failed for an instance isn't asked for it again for this
  /// long.
  Duration FailedLenderPause = milliseconds(2500);
  /// The same for a lender whose connections were all in use: a few answer
  /// times.
  Duration FullLenderPause = milliseconds(150);
  /// A statement is refused after this many lenders have refused it because it
  /// would wait too long there: where two of several have no capacity the
  /// others seldom have any, and each further attempt is a message to and from
  /// a VM at capacity.
  int MaxFullLenders = 3;
  /// How often the direct path to an instance that is reached through lenders
  /// is tried.
  Duration DirectProbeInterval = milliseconds(500);
  /// The number of connections to an instance grows slowly for this long after
  /// the start: instances drop the connections of a VM that lost power after 3
  /// s.
  Duration StartPhase = milliseconds(3300);
  /// The time per added connection during that: long enough for a VM that has
  /// none to try a few times.
  Duration GrowthInterval = milliseconds(400);
  /// A transaction without a statement for this long counts as idle: well above
  /// the pauses of clients that are active.
  Duration IdleTransactionTime = milliseconds(700);
  /// No new connection is opened for this long after an instance refused a
  /// connection, usually because it had none free.
  Duration FullInstancePause = milliseconds(1000);
  /// The same for a VM that has no connection to that instance at all.
  Duration FullInstancePauseUnconnected = milliseconds(120);
  /// A client that connected before the first configuration is refused after
  /// this time, so that it can try another VM.
  Duration EarlyClientTimeout = milliseconds(900);
  /// The maximum number of statements that such a client may have sent; a
  /// client that waits to be accepted sends none.
  std::size_t MaxEarlyStatements = 16;
  /// A client with this many statements behind its current one, or this many
  /// bytes of them, is read no further until half of them are left. One message
  /// may be longer.
  std::size_t MaxQueuedStatements = 64;
  std::size_t MaxQueuedBytes = 256 << 10;
  /// The maximum number of statements that wait for one service.
  std::size_t QueueLength = 200;
  /// The maximum number of borrowed connections to one instance: one for each
  /// statement that one VM has there at once, and as many again for open
  /// transactions.
  int BorrowLimit = 8;
  /// The part of an instance's connections that all VMs together may hold. The
  /// remainder stays free: after a power loss the instances count the lost
  /// connections for some seconds more. With every usable connection open, VMs
  /// that restarted then found no free connection on the instance.
  double PooledFraction = 0.625;
  /// Where connections belong to organisations, how many to one instance a home
  /// should hold: enough that some serve while open transactions hold others.
  int OrganisationHomeConnections = 4;
  /// The maximum number of homes of one instance in that case; as in
  /// membership::HomeOptions.
  int MaxOrganisationHomes = 6;
  /// Connections to an instance reserved for the control VMs.
  int ReservedConnections = 4;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_PROXYOPTIONS_H
