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
 * One watch of the platform's endpoint list: a response that stays open and holds a message a line;
 * blank lines are keep-alives. It applies its messages to the held list until it fails or is
 * cancelled. State lives on the connector's event loop, and all calls come from there.
 */
final class PlatformEndpointWatch implements HttpWatch.Listener {
  /** Observes a watch, on its event loop. */
  interface Listener {
    /** Bytes arrived; called before they are applied. */
    void watchResponded(PlatformEndpointWatch watch);

    /** A message was applied to the held list. */
    void listUpdated(Event.EndpointListUpdate update);

    /** The watch failed; called once, and never after {@link #cancel}. */
    void watchFailed(PlatformEndpointWatch watch, String cause);
  }

  /** The longest message. */
  static final int MAX_MESSAGE_BYTES = 16 << 20;

  private static final int RESPONSE_TIMEOUT_MILLIS = 2_500;

  /** The platform sends a keep-alive every 2 s. */
  private static final long SILENCE_TIMEOUT_MILLIS = 3_200;

  /** A message that arrives in pieces without end must not count as a keep-alive. */
  private static final long MESSAGE_TIMEOUT_MILLIS = 5_000;

  private final InetSocketAddress address;
  private final PlatformEndpointList list;
  private final Listener listener;
  private final EventLoop loop;
  private final HttpWatch response;
  private final ByteArrayOutputStream partialMessage = new ByteArrayOutputStream();

  /** The version of the last message, at first the one that the watch was requested after. */
  private long lastVersion;

  /** Null while no message is incomplete. */
  private Future<?> messageTimeout;

  private boolean over;

  /** Starts a watch of what changes after the held list's version. */
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
    this.response =
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
    while (start < bytes.length && !over) {
      int end = lineEnd(bytes, start);
      partialMessage.write(bytes, start, end - start);
      if (partialMessage.size() > MAX_MESSAGE_BYTES) {
        fail("a message is over " + MAX_MESSAGE_BYTES + " bytes");
      } else if (end < bytes.length) {
        completeMessage();
      } else {
        startMessageTimeout();
      }
      start = end + 1;
    }
  }

  private static int lineEnd(byte[] bytes, int start) {
    int end = start;
    while (end < bytes.length && bytes[end] != '\n') {
      end++;
    }
    return end;
  }

  private void completeMessage() {
    cancelMessageTimeout();
    byte[] message = partialMessage.toByteArray();
    partialMessage.reset();
    if (new String(message, StandardCharsets.ISO_8859_1).isBlank()) {
      return;
    }
    try {
      PlatformListMessage read = list.read(message);
      Event.EndpointListUpdate update =
          list.apply(read, lastVersion, PlatformEndpointList.Origin.WATCH);
      lastVersion = read.version();
      listener.listUpdated(update);
    } catch (InvalidEndpointListException e) {
      fail(e.getMessage());
    }
  }

  private void startMessageTimeout() {
    if (messageTimeout == null) {
      messageTimeout =
          loop.schedule(
              () -> fail("a message was not complete within " + MESSAGE_TIMEOUT_MILLIS + " ms"),
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
    response.cancel();
    watchEnded(cause);
  }

  @Override
  public void watchEnded(String cause) {
    over = true;
    cancelMessageTimeout();
    listener.watchFailed(this, cause);
  }

  /** Ends the watch; the listener is not called any more. */
  void cancel() {
    over = true;
    cancelMessageTimeout();
    response.cancel();
  }
}
