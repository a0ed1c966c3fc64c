package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.FailStopDecoder;
import stonespring.netty.LogRateLimit;
import stonespring.netty.ProtocolViolationException;

/**
 * A ZMTP connection, inbound or outbound. Its state is confined to its event loop; {@code
 * writeMessage}, {@code writeMessageAndFlush}, {@code writeEncoded}, {@code flush} and {@code
 * close} may be called from any thread. A protocol violation by the peer or an exception thrown by
 * the listener closes this connection only and is logged once.
 */
public final class ZmtpConnection extends SimpleChannelInboundHandler<ZmtpPart> {
  private static final Logger LOG = LoggerFactory.getLogger(ZmtpConnection.class);

  /** ZMTP 3.0 peers send a subscription as a message that starts with this byte. */
  private static final int SUBSCRIBE_BYTE = 1;

  /** ZMTP 3.0 peers cancel a subscription by a message that starts with this byte. */
  private static final int CANCEL_BYTE = 0;

  private static final int PING_TTL_BYTES = 2;
  private static final int MAX_PING_CONTEXT_BYTES = 16;
  private static final int MAX_LOGGED_CHARS = 80;

  /** Maximum length of the prefix of a subscription, in bytes; keys are shorter. */
  private static final int MAX_PREFIX_BYTES = 1024;

  private final SocketType type;
  private final boolean asServer;
  private final ZmtpLimits limits;
  private final ZmtpListener listener;
  private final LogRateLimit closeLog;

  /** How many times the peer subscribed to each prefix. */
  private final Map<ByteBuffer, Integer> subscriptionCounts = new HashMap<>();

  private Channel channel;
  private Future<?> handshakeTimeout;
  private String peerAddress = "?";
  private int peerMinorVersion;
  private boolean greetingReceived;
  private boolean handshakeComplete;
  private boolean closeReported;
  private int subscriptionCount;

  /** Whether responses were written during the current read that are not sent yet. */
  private boolean flushNeeded;

  ZmtpConnection(
      SocketType type,
      boolean asServer,
      ZmtpLimits limits,
      ZmtpListener listener,
      LogRateLimit closeLog) {
    this.type = type;
    this.asServer = asServer;
    this.limits = limits;
    this.listener = listener;
    this.closeLog = closeLog;
  }

  /**
   * Returns the peer's address in the form used in log lines; "?" before the connection is active.
   */
  public String peerAddress() {
    return peerAddress;
  }

  public Channel channel() {
    return channel;
  }

  /** Writes a message; it is sent with the next {@link #flush}. */
  public void writeMessage(List<byte[]> frames) {
    writeEncoded(ZmtpEncoder.encodeMessage(channel.alloc(), frames));
  }

  /** Writes a message and sends it together with all messages written before. */
  public void writeMessageAndFlush(List<byte[]> frames) {
    writeMessage(frames);
    flush();
  }

  /**
   * Writes encoded messages, which are sent with the next {@link #flush}, and takes ownership of
   * the buffer. If more than {@link ZmtpLimits#maxPendingBytes} bytes already wait because the peer
   * reads too slowly, drops the messages and closes the connection.
   */
  public void writeEncoded(ByteBuf messages) {
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > limits.maxPendingBytes()) {
      messages.release();
      // Skipping messages would leave a gap in the stream; after the close, the peer reconnects and
      // requests a new snapshot.
      close("peer reads too slowly: more than " + limits.maxPendingBytes() + " bytes are pending");
      return;
    }
    channel.write(messages, channel.voidPromise());
  }

  /** Sends all messages written so far. */
  public void flush() {
    channel.flush();
  }

  /** Subscribes to the peer's messages whose first frame starts with the prefix. */
  public void subscribe(byte[] prefix) {
    if (peerMinorVersion >= 1) {
      channel.writeAndFlush(ZmtpEncoder.encodeCommand("SUBSCRIBE", prefix));
    } else {
      byte[] frame = new byte[prefix.length + 1];
      frame[0] = SUBSCRIBE_BYTE;
      System.arraycopy(prefix, 0, frame, 1, prefix.length);
      writeMessageAndFlush(List.of(frame));
    }
  }

  /** Closes the connection and logs the cause, unless it is already closed. */
  public void close(String cause) {
    if (channel.isOpen() && closeLog.shouldLog()) {
      LOG.warn("zmtp {} peer {}: connection closed: {}", type, peerAddress, cause);
    }
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    peerAddress = String.valueOf(channel.remoteAddress());
    ctx.writeAndFlush(ZmtpEncoder.encodeGreeting(asServer));
    handshakeTimeout =
        ctx.executor()
            .schedule(
                () ->
                    close(
                        "handshake not complete within " + limits.handshakeTimeoutMillis() + " ms"),
                limits.handshakeTimeoutMillis(),
                TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ZmtpPart part) {
    if (part instanceof ZmtpPart.Greeting greeting) {
      acceptGreeting(ctx, greeting);
    } else if (!greetingReceived) {
      throw new ZmtpProtocolException("greeting", "not received before the first frame");
    } else if (part instanceof ZmtpPart.Command command) {
      acceptCommand(command);
    } else if (part instanceof ZmtpPart.Message message) {
      acceptMessage(message.frames());
    }
  }

  private void acceptGreeting(ChannelHandlerContext ctx, ZmtpPart.Greeting greeting) {
    if (!greeting.mechanism().equals("NULL")) {
      throw new ZmtpProtocolException(
          "greeting", "mechanism '" + greeting.mechanism() + "' is not supported, expected NULL");
    }
    greetingReceived = true;
    peerMinorVersion = greeting.minorVersion();
    ctx.writeAndFlush(ReadyCommand.encode(type));
  }

  private void acceptCommand(ZmtpPart.Command command) {
    String commandName = command.name();
    if (!handshakeComplete
        && !commandName.equals(ReadyCommand.NAME)
        && !commandName.equals(ErrorCommand.NAME)) {
      throw new ZmtpProtocolException("command " + commandName, "received before READY");
    }
    byte[] data = command.data();
    switch (commandName) {
      case ReadyCommand.NAME -> acceptReady(data);
      case ErrorCommand.NAME ->
          throw new ZmtpProtocolException(
              "peer sent ERROR", sanitizeForLog(ErrorCommand.decodeReason(data)));
      case "SUBSCRIBE" -> acceptSubscription(data, true);
      case "CANCEL" -> acceptSubscription(data, false);
      case "PING" -> acceptPing(data);
      case "PONG" -> {
        // Ignored: this side never sends PING, so it expects no PONG.
      }
      default ->
          throw new ZmtpProtocolException(
              "command '" + sanitizeForLog(commandName) + "'", "unknown command name");
    }
  }

  private void acceptReady(byte[] data) {
    if (handshakeComplete) {
      throw new ZmtpProtocolException(ReadyCommand.NAME, "received twice");
    }
    Optional<String> peerType = ReadyCommand.decodeSocketType(data);
    boolean compatible =
        peerType.flatMap(SocketType::fromWireName).filter(type::isCompatibleWith).isPresent();
    if (!compatible) {
      String problem =
          "socket type "
              + peerType
                  .map(peerTypeName -> sanitizeForLog(peerTypeName) + " can't talk to " + type)
                  .orElse("is missing");
      ZmtpProtocolException incompatible = new ZmtpProtocolException(ReadyCommand.NAME, problem);
      channel.writeAndFlush(ErrorCommand.encode(incompatible.getMessage()));
      throw incompatible;
    }
    handshakeComplete = true;
    handshakeTimeout.cancel(false);
    listener.connectionOpened(this);
  }

  private void acceptPing(byte[] data) {
    if (data.length < PING_TTL_BYTES || data.length > PING_TTL_BYTES + MAX_PING_CONTEXT_BYTES) {
      throw new ZmtpProtocolException(
          "PING",
          "expected "
              + PING_TTL_BYTES
              + " to "
              + (PING_TTL_BYTES + MAX_PING_CONTEXT_BYTES)
              + " bytes of data, got "
              + data.length);
    }
    byte[] context = Arrays.copyOfRange(data, PING_TTL_BYTES, data.length);
    writeEncoded(ZmtpEncoder.encodeCommand("PONG", context));
    flushNeeded = true;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (flushNeeded) {
      flushNeeded = false;
      ctx.flush();
    }
  }

  private void acceptMessage(List<byte[]> frames) {
    if (!handshakeComplete) {
      throw new ZmtpProtocolException("message", "received before READY");
    }
    if (!type.publishes()) {
      listener.messageReceived(this, frames);
      return;
    }
    byte[] firstFrame = frames.get(0);
    if (frames.size() > 1
        || firstFrame.length == 0
        || firstFrame[0] != SUBSCRIBE_BYTE && firstFrame[0] != CANCEL_BYTE) {
      throw new ZmtpProtocolException(
          "message", "subscribers may only send subscriptions and cancellations");
    }
    acceptSubscription(
        Arrays.copyOfRange(firstFrame, 1, firstFrame.length), firstFrame[0] == SUBSCRIBE_BYTE);
  }

  private void acceptSubscription(byte[] prefix, boolean subscribed) {
    if (!type.publishes()) {
      throw new ZmtpProtocolException("subscription", "received by a socket that does not publish");
    }
    if (prefix.length > MAX_PREFIX_BYTES) {
      throw new ZmtpProtocolException(
          "subscription", "the prefix is over the limit of " + MAX_PREFIX_BYTES + " bytes");
    }
    if (!subscribed && !subscriptionCounts.containsKey(ByteBuffer.wrap(prefix))) {
      return; // cancels nothing
    }
    subscriptionCount += subscribed ? 1 : -1;
    if (subscriptionCount > limits.maxSubscriptions()) {
      throw new ZmtpProtocolException(
          "subscription",
          "the peer exceeds the limit of " + limits.maxSubscriptions() + " subscriptions");
    }
    subscriptionCounts.merge(
        ByteBuffer.wrap(prefix), subscribed ? 1 : -1, ZmtpConnection::sumOrRemove);
    listener.subscriptionChanged(this, prefix, subscribed);
  }

  /** Returns the sum of two counts; null, which removes the entry of a map, if it is 0. */
  private static Integer sumOrRemove(int count, int change) {
    return count + change == 0 ? null : count + change;
  }

  /**
   * Prepares text from a peer for a log line: truncates it and replaces every character except
   * printable ASCII.
   */
  private static String sanitizeForLog(String text) {
    String shortened = text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length()));
    return shortened.replaceAll("[^\\x20-\\x7e]", "?");
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    // A timeout that stays scheduled would keep this connection's memory until it fires.
    handshakeTimeout.cancel(false);
    subscriptionCounts.clear();
    if (!closeReported) {
      closeReported = true;
      listener.connectionClosed(this);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable rootCause = FailStopDecoder.unwrap(cause);
    if (rootCause instanceof ProtocolViolationException || rootCause instanceof IOException) {
      close(String.valueOf(rootCause.getMessage()));
    } else {
      LOG.error(
          "zmtp {} peer {}: connection closed: unexpected exception in the connection's handler",
          type,
          peerAddress,
          rootCause);
      ctx.close();
    }
  }
}
