package stonespring.line;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection; its state lives on its event loop and all calls come from there. Until it is kept
 * it has not joined: any fault of it is answered by a refusal and a close. The sign of life is
 * answered here, whoever asks.
 */
public final class LineConnection extends SimpleChannelInboundHandler<LineMessage> {
  private static final Logger LOG = LoggerFactory.getLogger(LineConnection.class);
  private static final String REFUSAL = "NACK";

  private final LineServer listener;
  private final LineHandler events;
  private Channel channel;
  private long since;
  private Future<?> unjoinedEnd;
  private Object keptFor;
  private boolean over;

  LineConnection(LineServer listener, LineHandler events) {
    this.listener = listener;
    this.events = events;
  }

  /** What this connection was kept for; null while it has not joined. */
  public Object keptFor() {
    return keptFor;
  }

  /** It has joined. */
  public void keep(Object purpose) {
    keptFor = purpose;
    notUnjoined();
  }

  private void notUnjoined() {
    unjoinedEnd.cancel(false);
    listener.known(this);
  }

  /** Writes text of whole lines, at once. A peer too far behind is cut off. */
  public void write(String lines) {
    if (over) {
      return;
    }
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > listener.limits().pendingBytes()) {
      // Nothing may be left out of the middle: it joins again and is told anew.
      end("it reads too slowly: over " + listener.limits().pendingBytes() + " bytes wait for it");
      return;
    }
    channel.writeAndFlush(bytes(lines), channel.voidPromise());
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Ends it with one line in the log; a kept one is told as closed at once, so that nothing of it
   * lasts longer.
   */
  public void end(String cause) {
    if (over) {
      return;
    }
    over = true;
    listener.ended(this, cause);
    if (keptFor == null) {
      notUnjoined();
      String word = cause.replaceAll("[^A-Za-z0-9]+", "-");
      ChannelFuture refused =
          channel.writeAndFlush(
              bytes(
                  REFUSAL + " reason=" + word.substring(0, Math.min(80, word.length())) + "\r\n"));
      if (refused.isDone()) {
        refused.addListener(ChannelFutureListener.CLOSE);
      } else {
        channel
            .close(); // it reads nothing: a refusal that waits for it would hold its descriptor for
        // ever
      }
      return;
    }
    channel.close();
    events.closed(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    since = System.nanoTime();
    unjoinedEnd = listener.connected(this);
  }

  Channel channel() {
    return channel;
  }

  /** When it connected, by the monotonic clock's nanoseconds. */
  long since() {
    return since;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, LineMessage message) {
    if (over) {
      return;
    }
    if (message.kind().equals("PING")) {
      write("PONG\r\n");
      return;
    }
    events.message(this, message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (over) {
      return;
    }
    over = true;
    if (keptFor != null) {
      events.closed(this);
    } else {
      notUnjoined();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable root =
        cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
    if (!(root instanceof MalformedLineException) && !(root instanceof java.io.IOException)) {
      LOG.error("a connection's handler failed", root);
    }
    end(
        root instanceof MalformedLineException
            ? root.getMessage()
            : root instanceof java.io.IOException ? "reset" : "handler failed");
  }
}
