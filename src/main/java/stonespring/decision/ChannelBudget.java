package stonespring.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

/**
 * Estimates the backlog of the channel to the proxies, and decides which updates it has room for.
 * Acknowledgements show how much of the queue has been delivered, independent of the channel's
 * actual rate. Without recent acknowledgements the channel is assumed to be much slower than
 * configured.
 *
 * <p>The channel is modelled as one queue of entries to all proxies, in the order of sending. An
 * entry is a route, limit, exclusion or acknowledgement request at one proxy, or part of a
 * message's overhead. A position in the queue is the number of entries sent before it since the
 * engine's start. A batch is recorded when it ends: it takes the positions after those of the
 * previous batch, and its acknowledgement number identifies it. The backlog is the distance from
 * the position that acknowledgements have reached to the end of the queue.
 *
 * <p>A first table is the table that this instance assigns to a proxy for the first time since the
 * proxy connected.
 */
final class ChannelBudget {
  /**
   * Minimum time between exclusion notices, and between urgent updates of a proxy that got many
   * messages; also the delay until postponed updates are tried again. It is well below the time
   * that a proxy may be without a route.
   */
  static final long BATCH_INTERVAL_DECI_MILLIS = 6 * DeciMillis.SECOND / 10;

  /** Time for which the last acknowledgement counts as recent. */
  private static final long ACKNOWLEDGEMENT_VALIDITY_DECI_MILLIS = 3 * DeciMillis.SECOND;

  /**
   * Factor by which the channel is assumed to be slower than configured while nothing is
   * acknowledged; above that of the slowest channel known.
   */
  private static final double ASSUMED_SLOWDOWN = 5;

  /**
   * Share of the backlog limit up to which routine updates are sent; the rest is reserved for
   * updates for draining endpoints and empty tables.
   */
  private static final double ROUTINE_BACKLOG_SHARE = 0.3;

  /**
   * Share of the backlog limit up to which first tables and admission limits are sent; both can
   * wait until the backlog is smaller.
   */
  private static final double FIRST_TABLE_BACKLOG_SHARE = 0.35;

  /**
   * Share of the backlog limit up to which exclusion notices are sent, or first tables that replace
   * them.
   */
  private static final double EXCLUSION_BACKLOG_SHARE = 0.6;

  /**
   * Share of the backlog limit up to which urgent updates are sent; the rest allows for the error
   * of the estimate.
   */
  private static final double URGENT_BACKLOG_SHARE = 0.85;

  /** Share of the message limit per proxy up to which routine updates are sent. */
  private static final double ROUTINE_MESSAGE_SHARE = 0.33;

  /** Share of the message limit per proxy up to which admission limits are sent. */
  private static final double ADMISSION_MESSAGE_SHARE = 2 * ROUTINE_MESSAGE_SHARE;

  /** Stands for the message limit if none is configured; it is never reached. */
  private static final double UNLIMITED_MESSAGES = 1e9;

  /** Messages per proxy and window that are reserved for exclusion notices. */
  private static final int RESERVED_MESSAGES = 2;

  /**
   * Count of acknowledgement numbers before they repeat, enough for the batches of about an hour;
   * older batches are forgotten.
   */
  private static final int ACK_NUMBER_COUNT = 4_000;

  /**
   * A batch that was sent.
   *
   * @param startPosition the position of its first entry
   * @param entries its entries at all proxies, with the overhead of its messages
   * @param messages its messages, one for each proxy that it reaches
   */
  private record SentBatch(double startPosition, double entries, int messages) {
    double endPosition() {
      return startPosition + entries;
    }
  }

  private final Settings.ChannelLimits limits;
  private final EngineClock clock;
  private final ProxyRegistry proxies;
  private final CommandBatch batch;
  private final Map<Integer, SentBatch> sentBatches = new HashMap<>();
  private int nextAckNumber = 1;

  /** End of the queue: the entries sent so far. */
  private double sentPosition;

  /** Position up to which entries count as delivered. */
  private double acknowledgedPosition;

  /** When the queue would be empty at the assumed pace. */
  private long assumedEmptyAt;

  private long lastAcknowledgedAt = EngineClock.NEVER;

  ChannelBudget(
      Settings.ChannelLimits limits, EngineClock clock, ProxyRegistry proxies, CommandBatch batch) {
    this.limits = limits;
    this.clock = clock;
    this.proxies = proxies;
    this.batch = batch;
  }

  /** Returns the position at which the current batch starts. */
  double batchStartPosition() {
    return sentPosition;
  }

  /**
   * Ends the batch: records its entries and returns its commands, with an acknowledgement request
   * at the end if it reaches any proxy.
   */
  List<Command> endBatch() {
    List<Command> commands = batch.takeCommands();
    if (!batch.proxies().isEmpty()) {
      commands.add(new Command.RequestAck(new AckId(nextAckNumber), false));
      recordBatch();
    }
    batch.clearEntries();
    return commands;
  }

  private void recordBatch() {
    int messages = batch.proxies().size();
    sentBatches.put(nextAckNumber, new SentBatch(sentPosition, batch.entries(), messages));
    nextAckNumber = nextAckNumber % ACK_NUMBER_COUNT + 1;
    sentPosition += batch.entries();
    double assumedTimeDeciMillis =
        batch.entries() * DeciMillis.SECOND * ASSUMED_SLOWDOWN / limits.entriesPerSecond();
    assumedEmptyAt = Math.max(assumedEmptyAt, clock.now()) + (long) assumedTimeDeciMillis;
    for (ProxyState proxy : batch.proxies()) {
      int entries = batch.messageOverhead() + batch.entriesFor(proxy);
      proxy.channel().recordMessage(entries, sentPosition, acknowledgedPosition, clock.now());
    }
  }

  /**
   * Records that a proxy applied a batch. All earlier batches, and the proxy's message of this
   * batch, count as delivered.
   *
   * @return the position at which the batch started; empty if no batch is recorded under the number
   */
  OptionalDouble recordAcknowledgement(ProxyState proxy, AckId ack) {
    SentBatch sent = sentBatches.get(ack.number());
    if (sent == null) {
      return OptionalDouble.empty();
    }
    lastAcknowledgedAt = clock.now();
    double reachedPosition =
        Math.max(acknowledgedPosition, sent.startPosition()) + sent.entries() / sent.messages();
    acknowledgedPosition =
        Math.max(acknowledgedPosition, Math.min(reachedPosition, sent.endPosition()));
    proxy.channel().recordAcknowledgement(sent.endPosition());
    return OptionalDouble.of(sent.startPosition());
  }

  /**
   * Removes the undelivered entries of a connection that ended from the backlog: they are lost and
   * never acknowledged.
   */
  void recordDisconnection(ProxyState proxy) {
    double lost = proxy.channel().dropUnacknowledgedEntries(acknowledgedPosition);
    acknowledgedPosition = Math.min(sentPosition, acknowledgedPosition + lost);
  }

  /**
   * Returns the number of undelivered entries, including those of the current batch. Without a
   * recent acknowledgement it is at most what would still be undelivered at the assumed pace, since
   * acknowledgements may have been lost.
   */
  private double backlog() {
    double unacknowledged = sentPosition - acknowledgedPosition;
    if (clock.since(lastAcknowledgedAt) < ACKNOWLEDGEMENT_VALIDITY_DECI_MILLIS) {
      return batch.entries() + unacknowledged;
    }
    double waitingAtAssumedPace =
        Math.max(0, assumedEmptyAt - clock.now())
            * limits.entriesPerSecond()
            / ASSUMED_SLOWDOWN
            / DeciMillis.SECOND;
    return batch.entries() + Math.min(waitingAtAssumedPace, unacknowledged);
  }

  /**
   * Returns whether exclusion notices can be sent to all proxies with unknown tables. If not, first
   * tables have the same effect with fewer entries.
   *
   * @param unknownTableCount the number of proxies with unknown tables
   * @param excludedCount the number of endpoints to exclude at each of them
   */
  boolean hasRoomForExclusions(long unknownTableCount, long excludedCount) {
    double entries = backlog() + unknownTableCount * (batch.messageOverhead() + excludedCount);
    return entries <= EXCLUSION_BACKLOG_SHARE * limits.maxBacklogEntries();
  }

  /**
   * Returns whether an update that cannot wait for a round can be sent. After many messages to a
   * proxy, its urgent updates are at least {@link #BATCH_INTERVAL_DECI_MILLIS} apart. First tables
   * can wait for a smaller backlog.
   *
   * @param exclusionsDoNotFit whether first tables replace exclusion notices, which the channel has
   *     no room for
   */
  boolean hasRoomForUrgentUpdate(ProxyState proxy, boolean exclusionsDoNotFit) {
    double firstTableShare =
        exclusionsDoNotFit ? EXCLUSION_BACKLOG_SHARE : FIRST_TABLE_BACKLOG_SHARE;
    double backlogShare = proxy.isTableAssigned() ? URGENT_BACKLOG_SHARE : firstTableShare;
    if (backlog() > backlogShare * limits.maxBacklogEntries()) {
      return false;
    }
    if (hasRoutineMessageAllowance(proxy)) {
      return true;
    }
    return recentMessageCount(proxy) < limits.maxMessagesPerProxy() - RESERVED_MESSAGES
        && clock.since(proxy.channel().lastMessageSentAt()) >= BATCH_INTERVAL_DECI_MILLIS;
  }

  /**
   * Returns whether a routine update can be sent and leaves enough of the channel to updates for
   * draining endpoints and empty tables.
   */
  boolean hasRoomForRoutineUpdate(ProxyState proxy) {
    return backlog() < ROUTINE_BACKLOG_SHARE * limits.maxBacklogEntries()
        && hasRoutineMessageAllowance(proxy);
  }

  /**
   * Returns whether the backlog is small enough, and the recent messages to each connected proxy
   * few enough, to send admission limits to all proxies.
   */
  boolean hasRoomForAdmissionLimits() {
    double maxMessages =
        limits.maxMessagesPerProxy() == 0
            ? UNLIMITED_MESSAGES
            : ADMISSION_MESSAGE_SHARE * limits.maxMessagesPerProxy();
    return backlog() < FIRST_TABLE_BACKLOG_SHARE * limits.maxBacklogEntries()
        && proxies.all().stream()
            .allMatch(proxy -> !proxy.isConnected() || recentMessageCount(proxy) < maxMessages);
  }

  private boolean hasRoutineMessageAllowance(ProxyState proxy) {
    return limits.maxMessagesPerProxy() == 0
        || recentMessageCount(proxy) < ROUTINE_MESSAGE_SHARE * limits.maxMessagesPerProxy();
  }

  private int recentMessageCount(ProxyState proxy) {
    return proxy.channel().countRecentMessages(clock.now(), limits.messageWindow());
  }
}
