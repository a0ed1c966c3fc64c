package stonespring.proxyapi.chp;

import java.util.concurrent.atomic.AtomicInteger;
import stonespring.proxyapi.ProxyConnection;
import stonespring.zmtp.ZmtpConnection;

/**
 * A connection to the collector socket, on which proxies set keys. While many of its messages are
 * queued, the connection is not read from, so that a peer that sends at full speed does not delay
 * the messages of others. Thread-safe, except {@link #beforeQueueing}.
 */
final class CollectorConnection implements ProxyConnection {
  /** Reading pauses at this many queued messages. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  private static final int RESUME_READING_AT = MAX_QUEUED_MESSAGES / 2;

  private final ZmtpConnection peer;
  private final AtomicInteger queuedMessages = new AtomicInteger();

  CollectorConnection(ZmtpConnection peer) {
    this.peer = peer;
  }

  /** Counts a message that is about to be queued; called on the event loop of the connection. */
  void beforeQueueing() {
    queuedMessages.incrementAndGet();
    updateReading();
  }

  @Override
  public void messageHandled() {
    if (queuedMessages.decrementAndGet() == RESUME_READING_AT) {
      peer.channel().eventLoop().execute(this::updateReading);
    }
  }

  private void updateReading() {
    peer.channel().config().setAutoRead(queuedMessages.get() < MAX_QUEUED_MESSAGES);
  }

  @Override
  public void close(String reason) {
    peer.close(reason);
  }
}
