// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the proxy's decisions can be tuned by.

#ifndef STEPLEDGE_PROXY_TYPES_PROXYOPTIONS_H
#define STEPLEDGE_PROXY_TYPES_PROXYOPTIONS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <string>

namespace stepledge::proxy {

struct ProxyOptions {
  HallId OwnHall;
  /// The address by which other VMs know this one.
  std::string OwnIp;
  /// A read that got no answer for this long is sent to another instance:
  /// some five times the usual answer time.
  Duration ReadRetryAfter = milliseconds(180);
  /// A statement that gets no answer is sent this often in all: two waits of
  /// ReadRetryAfter are a good part of the latency objectives, which are some
  /// 150 to 600 ms.
  int MostSlowSendings = 2;
  /// The part of reads that may be sent a second time before
  /// ReadRetryAfter, so that second tries can't fill the siblings. Later ones
  /// count too, but aren't refused.
  double SecondTryShare = 0.05;
  /// As many of them may come at once: a VM that asks little has some, and many
  /// VMs together fill nobody.
  double SecondTryReserve = 2;
  /// The pause before the same instance is asked again.
  Duration RetryPause = milliseconds(25);
  /// How often the primary is asked for its position when no statement
  /// brought one: bounded reads need one younger than their staleness.
  Duration ProofInterval = milliseconds(450);
  /// How often all instances of a service are asked whether they lead, while
  /// none is known to: some answer times.
  Duration SearchInterval = milliseconds(100);
  /// Reads wait for a position that was asked for less than this ago, and turn
  /// to the primary beyond it: some round trips and a short line at a lender.
  Duration ProofWait = milliseconds(80);
  /// Taken off a route's staleness for the time a read waits in queues.
  Duration StalenessMargin = milliseconds(250);
  /// A read waits this long for a connection in its own hall before it turns to
  /// another hall: about the usual answer time. Together with the shares by
  /// hall it takes a fifth off the bytes between halls: their price fell from
  /// 0.035 to 0.028 of the worth (simulated days, mean of ten).
  Duration LocalityWait = milliseconds(15);
  /// A statement waits this long before a connection beyond the kept share is
  /// opened for it: about the usual answer time.
  Duration BorrowDelay = milliseconds(20);
  /// A connection beyond the kept share is closed after this idle time.
  Duration SpareConnectionLifetime = milliseconds(3000);
  /// The same for a connection of a VM that is no home of the instance.
  Duration ForeignLifetime = milliseconds(1000);
  /// A connection that nobody waits for is closed if not answered by then.
  Duration AbandonedLifetime = milliseconds(2500);
  /// The same for one on a connection that later statements have overtaken:
  /// some statement times, so that it is replaced while few can meet it.
  Duration SuspectLifetime = milliseconds(600);
  /// An open transaction whose statement has been overtaken is aborted after
  /// this time, but not before so many times the instance's answer time: the
  /// client can repeat it whole, while waiting for the route's limit leaves it
  /// no time to.
  Duration SilentTransactionLimit = milliseconds(250);
  int SilentTransactionFactor = 8;
  /// An instance that takes longer to accept a connection isn't reachable.
  Duration ConnectLimit = milliseconds(350);
  /// A lender that failed for an instance isn't asked again before.
  Duration BadLenderPause = milliseconds(2500);
  /// The same for a lender whose connections were all in use: some answer
  /// times.
  Duration FullLenderPause = milliseconds(150);
  /// A statement that so many lenders refused, because it would wait there
  /// beyond what is of use to it, is refused: where two of several have no
  /// room, the others seldom have any, and each more that is asked is a message
  /// to and from a full VM.
  int MostLendersTooFull = 3;
  /// How often an instance that is reached by lenders is tried directly.
  Duration DirectProbeInterval = milliseconds(500);
  /// Connections to an instance grow slowly for this long after the start:
  /// instances drop the connections of a VM without power after 3 s.
  Duration CautiousStart = milliseconds(3300);
  /// By one after each such time: some tries of a VM that has none.
  Duration GrowthInterval = milliseconds(400);
  /// A transaction without a statement for this long rests: well above the
  /// pauses of clients that are at work.
  Duration RestTime = milliseconds(700);
  /// No new connection for this long after an instance had no room.
  Duration FullPause = milliseconds(1000);
  /// The same for a VM that has no connection to that instance at all.
  Duration FullPauseAlone = milliseconds(120);
  /// A client that came before the first configuration is sent away after this
  /// time, so that it can try another VM.
  Duration EarlyClientLimit = milliseconds(900);
  /// What such a client may have asked meanwhile; one that waits to be accepted
  /// asks nothing.
  std::size_t EarlyStatements = 16;
  /// The most statements that wait for one service.
  std::size_t QueueLength = 200;
  /// Borrowed connections to one instance: as many as statements that one VM
  /// has there at once, and as many open transactions again.
  int BorrowLimit = 8;
  /// The part of an instance's connections that all VMs together may hold. The
  /// rest stays free: after a loss of power the instances count the lost
  /// connections for some seconds more, and no VM gets in where they are all.
  /// In the two seconds after such a loss 0.57 was served instead of 0.07 to
  /// 0.17 (simulated days).
  double PooledFraction = 0.625;
  /// Where connections belong to organisations, how many of one instance a home
  /// should hold: room for some that serve while others are held by open
  /// transactions. Three homes of five, four of four and five of three served
  /// 0.93 to 0.94 of the statements (simulated days with faults, means of
  /// five).
  int OrganisationHomeConnections = 4;
  /// Then the most homes of one instance; as membership::HomeOptions.
  int MostOrganisationHomes = 6;
  /// Connections to an instance left to the control VMs.
  int ReservedConnections = 4;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_PROXYOPTIONS_H
