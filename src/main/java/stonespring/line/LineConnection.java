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
 * A connection of a {@link LineServer}. Its handshake is complete once it has a session. If an
 * error occurs before the handshake is complete, the connection sends a refusal, provided that it
 * can be written immediately, and closes. The connection answers keep-alives itself. State is
 * confined to the connection's event loop, and all methods must be called on it.
 */
public final class LineConnection extends SimpleChannelInboundHandler<LineMessage> {
  private static final Logger LOG = LoggerFactory.getLogger(LineConnection.class);
  private static final String KEEP_ALIVE = "PING";
  private static final String KEEP_ALIVE_RESPONSE = "PONG\r\n";

  /**
   * Start of the line that refuses a peer whose handshake is incomplete. The reason of the refusal
   * follows, with hyphens in place of spaces and punctuation.
   */
  private static final String REFUSAL_PREFIX = "NACK reason=";

  /** Maximum length of the reason in a refusal, in characters. */
  private static final int MAX_REASON_CHARS = 80;

  private final LineLimits limits;
  private final PendingHandshakes pendingHandshakes;
  private final ConnectionLimit connectionLimit;
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
      ConnectionLimit connectionLimit,
      ConnectionCloseLog closeLog,
      LineHandler handler) {
    this.limits = limits;
    this.pendingHandshakes = pendingHandshakes;
    this.connectionLimit = connectionLimit;
    this.closeLog = closeLog;
    this.handler = handler;
  }

  /** Returns the session that {@link #setSession} set; null before the handshake is complete. */
  public Object session() {
    return session;
  }

  /**
   * Sets or replaces the session, which completes the handshake.
   *
   * @param session the session, whose string form names the peer in log lines; not null
   */
  public void setSession(Object session) {
    this.session = session;
    endHandshake();
  }

  private void endHandshake() {
    handshakeTimeout.cancel(false);
    pendingHandshakes.remove(this);
  }

  /**
   * Writes and flushes complete lines. If the peer reads too slowly, closes the connection instead.
   */
  public void write(String lines) {
    if (closed) {
      return;
    }
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > limits.maxPendingWriteBytes()) {
      // No message may be skipped. The peer connects again and then receives a snapshot.
      close("it reads too slowly: over " + limits.maxPendingWriteBytes() + " bytes wait for it");
      return;
    }
    channel.writeAndFlush(encode(lines), channel.voidPromise());
  }

  private static ByteBuf encode(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Closes the connection and logs the reason. If the connection has a session, the handler is
   * notified before this method returns. Otherwise the reason is sent to the peer, if it can be
   * written immediately.
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
    ChannelFuture written = channel.writeAndFlush(encode(REFUSAL_PREFIX + shortened + "\r\n"));
    if (written.isDone()) {
      written.addListener(ChannelFutureListener.CLOSE);
    } else {
      // The peer does not read. Waiting until it does could hold the file descriptor forever.
      channel.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    connectedAtNanos = System.nanoTime();
    handshakeTimeout = pendingHandshakes.add(this);
    if (!connectionLimit.add()) {
      close("too many connections");
    }
  }

  Channel channel() {
    return channel;
  }

  /** Returns the time at which the connection was established, by {@link System#nanoTime}. */
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
    connectionLimit.remove();
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
      LOG.error("connection handler failed; the connection is closed", root);
      close("handler failed");
    }
  }
}
