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
 * Acknowledgements tell how far the channel is, at whatever pace; without them it is taken to be
 * much slower than configured.
 *
 * <p>The channel is seen as one queue of entries to all proxies, in the order of sending. An entry
 * is a route, limit, exclusion or acknowledgement request at one proxy, or part of a message's
 * overhead. A position in the queue is the number of entries sent before it, since the engine's
 * start. A batch is recorded when it ends: it takes the positions from where the last one ended,
 * and its acknowledgement number leads back to them. The backlog is what lies between the position
 * that acknowledgements have reached and the end of the queue.
 */
final class ChannelBudget {
  /** DeciMillis between urgent updates, or exclusion notices, that may wait for each other. */
  static final long BATCH_INTERVAL_DECI_MILLIS = 6 * DeciMillis.SECOND / 10;

  /** DeciMillis for which the last acknowledgement tells how far the channel is. */
  private static final long ACKNOWLEDGEMENT_VALIDITY_DECI_MILLIS = 3 * DeciMillis.SECOND;

  /** Times slower than configured, while nothing is acknowledged. */
  private static final double ASSUMED_SLOWDOWN = 5;

  // Shares of the backlog's limit up to which updates go out; the rest is left to what follows.
  private static final double ROUTINE_BACKLOG_SHARE = 0.3;
  private static final double FIRST_TABLE_BACKLOG_SHARE = 0.35;
  private static final double EXCLUSION_BACKLOG_SHARE = 0.6;
  private static final double URGENT_BACKLOG_SHARE = 0.85;

  /** Share of a proxy's messages up to which routine updates go out. */
  private static final double ROUTINE_MESSAGE_SHARE = 0.33;

  /** Share of a proxy's messages up to which admission limits go out. */
  private static final double ADMISSION_MESSAGE_SHARE = 2 * ROUTINE_MESSAGE_SHARE;

  private static final double UNLIMITED_MESSAGES = 1e9;

  /** Messages of a proxy that are left to exclusion notices. */
  private static final int RESERVED_MESSAGES = 2;

  /** Acknowledgement numbers before they start over; about an hour's batches. */
  private static final int ACK_NUMBER_COUNT = 4_000;

  /** What was sent in one batch. */
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
  private double sentPosition;
  private double acknowledgedPosition;
  private long assumedEmptyAt;
  private long lastAcknowledgedAt = EngineClock.NEVER;

  ChannelBudget(
      Settings.ChannelLimits limits, EngineClock clock, ProxyRegistry proxies, CommandBatch batch) {
    this.limits = limits;
    this.clock = clock;
    this.proxies = proxies;
    this.batch = batch;
  }

  /** The position at which the current batch starts. */
  double batchStartPosition() {
    return sentPosition;
  }

  /**
   * Ends the batch: records its entries and returns its commands with an acknowledgement request.
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
   * Notes that a proxy applied a batch: all earlier batches left the channel, and its own message.
   *
   * @return the position at which the batch started; empty if it is unknown
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

  /** Takes off what waits for a connection that ended: it is lost and never acknowledged. */
  void recordDisconnection(ProxyState proxy) {
    double lost = proxy.channel().dropUnacknowledgedEntries(acknowledgedPosition);
    acknowledgedPosition = Math.min(sentPosition, acknowledgedPosition + lost);
  }

  /**
   * Entries that wait, with those of the current batch. Without current acknowledgements it is no
   * more than what waits at the assumed pace: acknowledgements may have been lost.
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
   * Whether all unknown tables can be told of exclusions. Otherwise first tables say the same for
   * fewer entries.
   */
  boolean hasRoomForExclusions(long unknownTableCount, long excludedCount) {
    double entries = backlog() + unknownTableCount * (batch.messageOverhead() + excludedCount);
    return entries <= EXCLUSION_BACKLOG_SHARE * limits.maxBacklogEntries();
  }

  /**
   * Whether an update may go out that cannot wait for a round. Once a proxy had many messages, its
   * urgent updates are batched; first tables can wait for the backlog.
   *
   * @param exclusionsDoNotFit whether first tables go out in place of exclusion notices
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

  /** Whether a routine update leaves enough of the channel to drains and empty tables. */
  boolean hasRoomForRoutineUpdate(ProxyState proxy) {
    return backlog() < ROUTINE_BACKLOG_SHARE * limits.maxBacklogEntries()
        && hasRoutineMessageAllowance(proxy);
  }

  /** Whether admission limits may go out to all proxies. */
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
