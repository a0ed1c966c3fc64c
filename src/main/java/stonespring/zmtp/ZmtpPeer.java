package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection. Its state lives on its event loop; {@code send}, {@code flush} and {@code close}
 * may be called from any thread. A fault of the peer, or a failure in what handles its messages,
 * ends this connection with one line in the log and reaches nobody else.
 */
public final class ZmtpPeer extends SimpleChannelInboundHandler<Part> {
  private static final Logger LOG = LoggerFactory.getLogger(ZmtpPeer.class);
  private static final int SUBSCRIBE = 1;
  private static final int CANCEL = 0;
  private static final int CONTEXT_MOST = 16;

  private final SocketType own;
  private final boolean asServer;
  private final ZmtpLimits limits;
  private final ZmtpEvents events;
  private Channel channel;
  private String name = "?";
  private int minor;
  private boolean greeted;
  private boolean ready;
  private boolean told;
  private int subscriptions;

  ZmtpPeer(SocketType own, boolean asServer, ZmtpLimits limits, ZmtpEvents events) {
    this.own = own;
    this.asServer = asServer;
    this.limits = limits;
    this.events = events;
  }

  /** Who it is, for the log: its socket's address. */
  public String name() {
    return name;
  }

  public Channel channel() {
    return channel;
  }

  /** Sends one message; it leaves with the next {@link #flush}. */
  public void send(List<byte[]> frames) {
    write(Wire.message(channel.alloc(), frames));
  }

  public void sendNow(List<byte[]> frames) {
    send(frames);
    flush();
  }

  /**
   * Writes bytes made by {@link Wire}; takes over the reference. A peer too far behind is cut off.
   */
  public void write(ByteBuf bytes) {
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > limits.pendingBytes()) {
      bytes.release();
      // Nothing may be left out of the middle: a reader that is so far behind starts again by a
      // snapshot.
      close("it reads too slowly: over " + limits.pendingBytes() + " bytes wait for it");
      return;
    }
    channel.write(bytes, channel.voidPromise());
  }

  public void flush() {
    channel.flush();
  }

  /** Asks the publisher for what starts with the prefix, in the form that its version takes. */
  public void subscribe(byte[] prefix) {
    if (minor >= 1) {
      channel.writeAndFlush(Wire.command("SUBSCRIBE", prefix));
    } else {
      byte[] frame = new byte[prefix.length + 1];
      frame[0] = SUBSCRIBE;
      System.arraycopy(prefix, 0, frame, 1, prefix.length);
      sendNow(List.of(frame));
    }
  }

  public void close(String cause) {
    if (channel.isOpen()) {
      LOG.warn("zmtp {} peer {}: connection ended: {}", own, name, cause);
    }
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    name = String.valueOf(channel.remoteAddress());
    ctx.writeAndFlush(Wire.greeting(asServer));
    ctx.executor()
        .schedule(
            () -> {
              if (!ready && channel.isOpen()) {
                close("no handshake within " + limits.handshakeMillis() + " ms");
              }
            },
            limits.handshakeMillis(),
            TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Part part) {
    if (part instanceof Part.Greeting greeting) {
      greeting(ctx, greeting);
    } else if (!greeted) {
      throw new ZmtpException("it speaks before its greeting");
    } else if (part instanceof Part.Command command) {
      command(ctx, command);
    } else if (part instanceof Part.Message message) {
      if (!ready) {
        throw new ZmtpException("message: it comes before READY");
      }
      message(message.frames());
    }
  }

  private void greeting(ChannelHandlerContext ctx, Part.Greeting greeting) {
    if (!greeting.mechanism().equals("NULL")) {
      throw new ZmtpException(
          "greeting: mechanism '" + greeting.mechanism() + "' is not spoken, NULL is");
    }
    greeted = true;
    minor = greeting.minor();
    ctx.writeAndFlush(Wire.ready(own));
  }

  private void command(ChannelHandlerContext ctx, Part.Command command) {
    if (!ready && !command.name().equals("READY") && !command.name().equals("ERROR")) {
      throw new ZmtpException("command " + command.name() + ": it comes before READY");
    }
    byte[] data = command.data();
    switch (command.name()) {
      case "READY" -> ready(data);
      case "ERROR" -> throw new ZmtpException("it says ERROR: " + reason(data));
      case "SUBSCRIBE" -> subscription(data, true);
      case "CANCEL" -> subscription(data, false);
      case "PING" -> {
        if (data.length < 2 || data.length > 2 + CONTEXT_MOST) {
          throw new ZmtpException("PING: " + data.length + " bytes of data");
        }
        ctx.writeAndFlush(Wire.command("PONG", Arrays.copyOfRange(data, 2, data.length)));
      }
      case "PONG" -> {}
      default ->
          throw new ZmtpException("command '" + printable(command.name()) + "' is not known");
    }
  }

  private void ready(byte[] data) {
    if (ready) {
      throw new ZmtpException("READY: it comes twice");
    }
    Map<String, String> properties = Wire.properties(data);
    String word = properties.get("socket-type");
    SocketType type = word == null ? null : SocketType.named(word);
    if (type == null || !own.talksTo(type)) {
      String cause =
          "READY: socket type "
              + (word == null ? "is missing" : printable(word) + " can't talk to " + own);
      byte[] text = cause.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
      byte[] error = new byte[text.length + 1];
      error[0] = (byte) text.length;
      System.arraycopy(text, 0, error, 1, text.length);
      channel.writeAndFlush(Wire.command("ERROR", error));
      throw new ZmtpException(cause);
    }
    ready = true;
    events.opened(this);
  }

  private void message(List<byte[]> frames) {
    boolean publishes = own == SocketType.PUB || own == SocketType.XPUB;
    if (!publishes) {
      events.message(this, frames);
      return;
    }
    byte[] first = frames.get(0);
    if (frames.size() == 1 && first.length > 0 && (first[0] == SUBSCRIBE || first[0] == CANCEL)) {
      subscription(Arrays.copyOfRange(first, 1, first.length), first[0] == SUBSCRIBE);
    } else {
      throw new ZmtpException("message: a subscriber may send subscriptions alone");
    }
  }

  private void subscription(byte[] prefix, boolean on) {
    if (own != SocketType.PUB && own != SocketType.XPUB) {
      throw new ZmtpException("subscription: this socket does not publish");
    }
    subscriptions += on ? 1 : -1;
    if (subscriptions > limits.subscriptions()) {
      throw new ZmtpException("subscription: over the limit of " + limits.subscriptions());
    }
    events.subscription(this, prefix, on);
  }

  private static String reason(byte[] data) {
    int length = data.length == 0 ? 0 : Math.min(data[0] & 0xFF, data.length - 1);
    return printable(
        new String(
            data, Math.min(1, data.length), length, java.nio.charset.StandardCharsets.US_ASCII));
  }

  private static String printable(String text) {
    return text.substring(0, Math.min(80, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    tellClosed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable root =
        cause instanceof io.netty.handler.codec.DecoderException && cause.getCause() != null
            ? cause.getCause()
            : cause;
    if (root instanceof ZmtpException || root instanceof java.io.IOException) {
      close(String.valueOf(root.getMessage()));
    } else {
      LOG.error("zmtp {} peer {}: connection ended: its handler failed", own, name, root);
      ctx.close();
    }
  }

  private void tellClosed() {
    if (!told) {
      told = true;
      events.closed(this);
    }
  }
}
