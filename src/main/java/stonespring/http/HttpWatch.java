package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One call whose answer comes in chunks and need never end, on a connection of its own. All of it
 * lives on one event loop. It ends once, by {@link Listener#ended}, unless it is cancelled before;
 * after either nothing more is told. Silence of the peer for longer than a bound is its end: a
 * machine that vanished says nothing.
 */
public final class HttpWatch {
  /** Hears the answer on the watch's event loop. */
  public interface Listener {
    void bytes(byte[] bytes);

    void ended(String cause);
  }

  private final EventLoop loop;
  private final Listener listener;
  private final long silenceMillis;
  private final Channel channel;
  private Future<?> silence;
  private boolean over;

  /**
   * @param answerMillis how long the dial and the answer's first bytes may take together
   * @param silenceMillis how long the peer may then say nothing
   * @param chunkMost bytes of one chunk
   */
  public HttpWatch(
      Dialer dialer,
      InetSocketAddress to,
      HttpMessage request,
      int answerMillis,
      long silenceMillis,
      int chunkMost,
      Listener listener) {
    this.loop = dialer.loop();
    this.listener = listener;
    this.silenceMillis = silenceMillis;
    silence =
        loop.schedule(
            () -> end("no answer within " + answerMillis + " ms"),
            answerMillis,
            TimeUnit.MILLISECONDS);
    channel =
        dialer.dial(
            to,
            answerMillis,
            cause -> dialed(cause, request),
            new HttpDecoder(false, chunkMost, true),
            new Reader());
  }

  private void dialed(Throwable cause, HttpMessage request) {
    if (cause != null) {
      end("it can't be reached: " + cause.getMessage());
    } else if (!over) {
      channel.writeAndFlush(request.bytes(true));
    }
  }

  /** Ends it without a word. */
  public void cancel() {
    over = true;
    silence.cancel(false);
    Dialer.close(channel);
  }

  private void end(String cause) {
    if (!over) {
      cancel();
      listener.ended(cause);
    }
  }

  private final class Reader extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      if (over) {
        return;
      }
      silence.cancel(false);
      silence =
          loop.schedule(
              () -> end("it has said nothing for " + silenceMillis + " ms"),
              silenceMillis,
              TimeUnit.MILLISECONDS);
      if (part instanceof HttpMessage answer && answer.status() != 200) {
        end("it answers " + answer.status());
      } else if (part instanceof HttpMessage answer && answer.body().length > 0) {
        listener.bytes(answer.body());
      } else if (part instanceof byte[] bytes) {
        listener.bytes(bytes);
      } else if (part == HttpDecoder.END) {
        end("its answer ended");
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("its connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable root =
          cause instanceof io.netty.handler.codec.DecoderException && cause.getCause() != null
              ? cause.getCause()
              : cause;
      end(String.valueOf(root.getMessage()));
    }
  }
}
