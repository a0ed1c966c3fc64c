package stonespring.line;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.FailStopDecoder;

/**
 * One connection. Its handshake is complete once it has a session; until then any error is answered
 * by a refusal, if it can be written at once, before the connection is closed. Keep-alives are
 * answered here. State lives on the connection's event loop, and all calls come from there.
 */
public final class LineConnection extends SimpleChannelInboundHandler<LineMessage> {
  private static final Logger LOG = LoggerFactory.getLogger(LineConnection.class);
  private static final String KEEP_ALIVE = "PING";
  private static final String KEEP_ALIVE_RESPONSE = "PONG\r\n";
  private static final String REFUSAL = "NACK reason=";
  private static final int MAX_REASON_CHARS = 80;

  private final LineLimits limits;
  private final PendingHandshakes pendingHandshakes;
  private final ConnectionCloseLog closeLog;
  private final LineHandler handler;
  private Channel channel;
  private long connectedAtNanos;
  private Future<?> handshakeTimeout;
  private Object session;
  private boolean closed;

  LineConnection(
      LineLimits limits,
      PendingHandshakes pendingHandshakes,
      ConnectionCloseLog closeLog,
      LineHandler handler) {
    this.limits = limits;
    this.pendingHandshakes = pendingHandshakes;
    this.closeLog = closeLog;
    this.handler = handler;
  }

  /** What {@link #setSession} set; null until then. */
  public Object session() {
    return session;
  }

  /**
   * Sets or replaces the session, which completes the handshake.
   *
   * @param session its text names the peer in log lines; not null
   */
  public void setSession(Object session) {
    this.session = session;
    endHandshake();
  }

  private void endHandshake() {
    handshakeTimeout.cancel(false);
    pendingHandshakes.remove(this);
  }

  /** Writes and flushes whole lines. Closes a connection whose peer reads too slowly. */
  public void write(String lines) {
    if (closed) {
      return;
    }
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > limits.maxPendingWriteBytes()) {
      // Nothing can be left out of the middle; the peer connects again and gets a snapshot.
      close("it reads too slowly: over " + limits.maxPendingWriteBytes() + " bytes wait for it");
      return;
    }
    channel.writeAndFlush(encode(lines), channel.voidPromise());
  }

  private static ByteBuf encode(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Closes the connection and logs why. With a session, the handler is notified before this
   * returns; without one, the peer is sent the reason if it can be written at once.
   */
  public void close(String reason) {
    if (closed) {
      return;
    }
    closed = true;
    closeLog.logClosed(session, reason);
    if (session == null) {
      endHandshake();
      sendRefusalAndClose(reason);
    } else {
      channel.close();
      handler.handleClosed(this);
    }
  }

  private void sendRefusalAndClose(String reason) {
    String hyphenated = reason.replaceAll("[^A-Za-z0-9]+", "-");
    String shortened = hyphenated.substring(0, Math.min(MAX_REASON_CHARS, hyphenated.length()));
    ChannelFuture written = channel.writeAndFlush(encode(REFUSAL + shortened + "\r\n"));
    if (written.isDone()) {
      written.addListener(ChannelFutureListener.CLOSE);
    } else {
      // The peer reads nothing; waiting for it would hold a descriptor for ever.
      channel.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    connectedAtNanos = System.nanoTime();
    handshakeTimeout = pendingHandshakes.add(this);
  }

  Channel channel() {
    return channel;
  }

  /** When the connection was established, by {@link System#nanoTime}. */
  long connectedAtNanos() {
    return connectedAtNanos;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, LineMessage message) {
    if (closed) {
      return;
    }
    if (message.kind().equals(KEEP_ALIVE)) {
      write(KEEP_ALIVE_RESPONSE);
    } else {
      handler.handleMessage(this, message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (closed) {
      return;
    }
    closed = true;
    if (session == null) {
      endHandshake();
    } else {
      handler.handleClosed(this);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable root = FailStopDecoder.unwrap(cause);
    if (root instanceof MalformedLineException) {
      close(root.getMessage());
    } else if (root instanceof IOException) {
      close("reset");
    } else {
      LOG.error("a connection's handler failed", root);
      close("handler failed");
    }
  }
}
