package stonespring.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import stonespring.http.Connector;
import stonespring.http.HttpRequest;
import stonespring.http.HttpWatch;
import stonespring.model.Event;

/**
 * One watch of the platform's endpoint list: an HTTP response that stays open and contains one
 * message per line. Blank lines are keep-alives. The watch applies its messages to the held list
 * until it fails or is cancelled. All methods must be called on the connector's event loop.
 */
final class PlatformEndpointWatch implements HttpWatch.Listener {
  /** Observes a watch, on its event loop. */
  interface Listener {
    /** Called whenever bytes have arrived, before their messages are applied. */
    void watchResponded(PlatformEndpointWatch watch);

    /** Called after a message was applied to the held list. */
    void listUpdated(Event.EndpointListUpdate update);

    /** Called when the watch has failed; at most once, and never after {@link #cancel}. */
    void watchFailed(PlatformEndpointWatch watch, String cause);
  }

  /** Far above the size of the longest permitted list. */
  static final int MAX_MESSAGE_BYTES = 16 << 20;

  /**
   * Timeout for connecting and for the head of the response together. The discovery server itself
   * gives up on a pending request well before it.
   */
  private static final int RESPONSE_TIMEOUT_MILLIS = 2_500;

  /**
   * Maximum time without received bytes. It exceeds the interval of 2 s at which the platform sends
   * keep-alives.
   */
  private static final long SILENCE_TIMEOUT_MILLIS = 3_200;

  /**
   * Maximum time for receiving a message. Without it, a message that arrives in pieces and never
   * ends would keep the watch alive. The platform treats a change as delivered 6 s after it
   * occurred, even if its message is incomplete. The time leaves room for the wait until the next
   * request, up to 1 s, and for the response to it.
   */
  private static final long MESSAGE_TIMEOUT_MILLIS = 2_500;

  private final InetSocketAddress address;
  private final PlatformEndpointList list;
  private final Listener listener;
  private final EventLoop loop;
  private final HttpWatch httpWatch;
  private final ByteArrayOutputStream partialMessage = new ByteArrayOutputStream();

  /** The version of the last message; before the first one, the version in the watch's request. */
  private long lastVersion;

  /** The timer of the current incomplete message; null if no message is incomplete. */
  private Future<?> messageTimeout;

  /** Whether the watch has failed or was cancelled. */
  private boolean finished;

  /** Starts a watch that requests all changes since the held list's version. */
  PlatformEndpointWatch(
      InetSocketAddress address,
      String path,
      PlatformEndpointList list,
      Connector connector,
      Listener listener) {
    this.address = address;
    this.list = list;
    this.listener = listener;
    this.loop = connector.loop();
    this.lastVersion = list.version();
    this.httpWatch =
        new HttpWatch(
            connector,
            address,
            HttpRequest.get(address, path + "?stream=1&index=" + lastVersion),
            new HttpWatch.Limits(
                RESPONSE_TIMEOUT_MILLIS, SILENCE_TIMEOUT_MILLIS, MAX_MESSAGE_BYTES),
            this);
  }

  InetSocketAddress address() {
    return address;
  }

  @Override
  public void bytesReceived(byte[] bytes) {
    listener.watchResponded(this);
    int start = 0;
    while (start < bytes.length && !finished) {
      int end = findLineEnd(bytes, start);
      partialMessage.write(bytes, start, end - start);
      if (partialMessage.size() > MAX_MESSAGE_BYTES) {
        fail("a list message exceeds " + MAX_MESSAGE_BYTES + " bytes");
      } else if (end < bytes.length) {
        processLine();
      } else {
        startMessageTimeout();
      }
      start = end + 1;
    }
  }

  private static int findLineEnd(byte[] bytes, int start) {
    int end = start;
    while (end < bytes.length && bytes[end] != '\n') {
      end++;
    }
    return end;
  }

  private void processLine() {
    cancelMessageTimeout();
    byte[] messageBytes = partialMessage.toByteArray();
    partialMessage.reset();
    if (new String(messageBytes, StandardCharsets.ISO_8859_1).isBlank()) {
      return;
    }
    try {
      PlatformListMessage parsedMessage = list.parseMessage(messageBytes);
      Event.EndpointListUpdate update =
          list.apply(parsedMessage, lastVersion, PlatformEndpointList.Origin.WATCH);
      lastVersion = parsedMessage.version();
      listener.listUpdated(update);
    } catch (InvalidEndpointListException e) {
      fail(e.getMessage());
    }
  }

  private void startMessageTimeout() {
    if (messageTimeout == null) {
      messageTimeout =
          loop.schedule(
              () ->
                  fail(
                      "a list message was still incomplete after "
                          + MESSAGE_TIMEOUT_MILLIS
                          + " ms"),
              MESSAGE_TIMEOUT_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void cancelMessageTimeout() {
    if (messageTimeout != null) {
      messageTimeout.cancel(false);
      messageTimeout = null;
    }
  }

  private void fail(String cause) {
    httpWatch.cancel();
    watchEnded(cause);
  }

  @Override
  public void watchEnded(String cause) {
    finished = true;
    cancelMessageTimeout();
    listener.watchFailed(this, cause);
  }

  /** Cancels the watch; the listener is not called afterwards. */
  void cancel() {
    finished = true;
    cancelMessageTimeout();
    httpWatch.cancel();
  }
}
