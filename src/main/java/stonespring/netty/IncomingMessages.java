package stonespring.netty;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The messages that the peers of one listener have begun or sent, within {@link IncomingLimits}.
 *
 * <p>When incomplete messages exceed their limit, the one that was begun first is rejected, then
 * the next: a peer that sends its messages without delay completes them before their turn comes,
 * whatever a crowd of others leaves unfinished. Thread-safe.
 */
public final class IncomingMessages {
  /** A connection whose message may be rejected. */
  interface Sender {
    /**
     * Rejects the incomplete message and ends the connection. Called while a lock is held; must
     * only schedule this on the connection's event loop.
     */
    void reject(IncompleteMessageException cause);
  }

  private static final class Incomplete {
    private final long begunNanos;
    private long bytes;

    Incomplete(long begunNanos) {
      this.begunNanos = begunNanos;
    }
  }

  private static final long TIMEOUT_CHECK_MILLIS = 1_000;

  private final IncomingLimits limits;

  /** Incomplete messages, the one that was begun first in front. */
  private final Map<Sender, Incomplete> incompleteMessages = new LinkedHashMap<>();

  private long incompleteBytes;
  private long pendingBytes;

  /** Creates a listener's set of messages, which is empty. */
  public IncomingMessages(IncomingLimits limits) {
    this.limits = limits;
  }

  /**
   * Starts to reject messages that are not complete in time.
   *
   * @return the task that checks them, to be cancelled when the listener stops
   */
  public Future<?> startTimeoutChecks(EventLoop loop) {
    return loop.scheduleAtFixedRate(
        this::rejectOverdue, TIMEOUT_CHECK_MILLIS, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Records the size of a sender's incomplete message, and rejects messages while their limit is
   * exceeded.
   *
   * @param bytes memory that the message holds so far; 0 if no message is incomplete
   * @param sameMessage whether the message that was recorded last is still incomplete
   */
  synchronized void recordIncomplete(Sender sender, long bytes, boolean sameMessage) {
    if (!sameMessage || bytes == 0) {
      remove(sender);
    }
    if (bytes == 0) {
      return;
    }
    Incomplete message =
        incompleteMessages.computeIfAbsent(sender, key -> new Incomplete(System.nanoTime()));
    incompleteBytes += bytes - message.bytes;
    message.bytes = bytes;
    while (incompleteBytes > limits.maxIncompleteBytes()) {
      rejectFirst(IncompleteMessageException.Cause.MEMORY);
    }
  }

  /** Forgets a connection's incomplete message. */
  synchronized void remove(Sender sender) {
    Incomplete removed = incompleteMessages.remove(sender);
    if (removed != null) {
      incompleteBytes -= removed.bytes;
    }
  }

  private void rejectFirst(IncompleteMessageException.Cause cause) {
    Iterator<Sender> senders = incompleteMessages.keySet().iterator();
    Sender first = senders.next();
    remove(first);
    first.reject(new IncompleteMessageException(cause));
  }

  private synchronized void rejectOverdue() {
    long latestOverdueNanos =
        System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(limits.messageTimeoutMillis());
    while (!incompleteMessages.isEmpty()
        && incompleteMessages.values().iterator().next().begunNanos - latestOverdueNanos <= 0) {
      rejectFirst(IncompleteMessageException.Cause.TIMEOUT);
    }
  }

  /**
   * Reserves memory for a complete message that waits or is handled.
   *
   * @return false if the limit would be exceeded; the message is to be refused then
   */
  public synchronized boolean reserve(long bytes) {
    if (pendingBytes + bytes > limits.maxPendingBytes()) {
      return false;
    }
    pendingBytes += bytes;
    return true;
  }

  /** Releases memory that was reserved. */
  public synchronized void release(long bytes) {
    pendingBytes -= bytes;
  }
}
