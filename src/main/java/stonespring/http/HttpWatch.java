package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import stonespring.netty.FailStopDecoder;

/**
 * A call on its own connection whose response arrives in chunks and may never end. It ends with one
 * call of {@link Listener#watchEnded} or with {@link #cancel}; the listener is not called after
 * either. The watch also ends when the peer is silent for too long, since a machine that vanished
 * sends nothing. State is confined to the connector's event loop; all methods must be called on it.
 */
public final class HttpWatch {
  /** Receives the events of a watch, on the event loop. */
  public interface Listener {
    /** Called for received bytes of the body, which may be split at any position. */
    void bytesReceived(byte[] bytes);

    /** Called once when the response has ended or the call has failed. */
    void watchEnded(String cause);
  }

  /**
   * Limits of a watch; it ends when one of them is exceeded.
   *
   * @param responseTimeoutMillis the maximum time until the head of the response has arrived,
   *     connecting included
   * @param silenceTimeoutMillis the maximum time between received parts after the head
   * @param maxChunkBytes the maximum size of a chunk
   */
  public record Limits(int responseTimeoutMillis, long silenceTimeoutMillis, int maxChunkBytes) {}

  private final EventLoop loop;
  private final HttpRequest request;
  private final Limits limits;
  private final Listener listener;
  private final Channel channel;
  private Future<?> timeoutTask;
  private boolean ended;

  /** Starts the watch: connects, then sends the request. */
  public HttpWatch(
      Connector connector,
      InetSocketAddress address,
      HttpRequest request,
      Limits limits,
      Listener listener) {
    this.loop = connector.loop();
    this.request = request;
    this.limits = limits;
    this.listener = listener;
    timeoutTask =
        scheduleEnd(
            limits.responseTimeoutMillis(),
            "no response within " + limits.responseTimeoutMillis() + " ms");
    channel =
        connector.connect(
            address,
            limits.responseTimeoutMillis(),
            new ConnectListener(),
            HttpDecoder.forStreamedResponses(limits.maxChunkBytes()),
            new ResponseHandler());
  }

  private Future<?> scheduleEnd(long millis, String cause) {
    return loop.schedule(() -> end(cause), millis, TimeUnit.MILLISECONDS);
  }

  /** Ends the watch without calling the listener. */
  public void cancel() {
    ended = true;
    timeoutTask.cancel(false);
    Connector.close(channel);
  }

  private void end(String cause) {
    if (!ended) {
      cancel();
      listener.watchEnded(cause);
    }
  }

  private final class ConnectListener implements Connector.Listener {
    @Override
    public void connected() {
      if (!ended) {
        channel.writeAndFlush(HttpEncoder.encode(request));
      }
    }

    @Override
    public void connectFailed(Throwable cause) {
      end("can't connect: " + cause.getMessage());
    }
  }

  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      if (ended) {
        return;
      }
      timeoutTask.cancel(false);
      timeoutTask =
          scheduleEnd(
              limits.silenceTimeoutMillis(),
              "nothing received for " + limits.silenceTimeoutMillis() + " ms");
      if (part instanceof HttpResponse response) {
        acceptHead(response);
      } else if (part instanceof StreamPart.Bytes chunk) {
        listener.bytesReceived(chunk.bytes());
      } else if (part instanceof StreamPart.End) {
        end("the response ended");
      }
    }

    /** Accepts the head of a chunked response, or a complete response that was not chunked. */
    private void acceptHead(HttpResponse response) {
      if (response.status() != 200) {
        end("expected status 200, got " + response.status());
      } else if (response.body().length > 0) {
        listener.bytesReceived(response.body());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(String.valueOf(FailStopDecoder.unwrap(cause).getMessage()));
    }
  }
}
