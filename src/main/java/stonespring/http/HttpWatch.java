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
 * A call whose response arrives in chunks and may never end, on a connection of its own. It ends by
 * {@link Listener#watchEnded}, once, or by {@link #cancel}; the listener is not called after
 * either. A silent peer counts as ended, as a machine that vanished sends nothing. State lives on
 * the connector's event loop, and all calls come from there.
 */
public final class HttpWatch {
  /** Observes a response, on the event loop. */
  public interface Listener {
    /** Bytes of the body arrived, cut anywhere. */
    void bytesReceived(byte[] bytes);

    /** The response ended, or there was none. */
    void watchEnded(String cause);
  }

  /**
   * Limits of a watch.
   *
   * @param responseTimeoutMillis for connecting and the complete head of the response together
   * @param silenceTimeoutMillis for each further wait for bytes
   * @param maxChunkBytes the longest chunk
   */
  public record Limits(int responseTimeoutMillis, long silenceTimeoutMillis, int maxChunkBytes) {}

  private final EventLoop loop;
  private final HttpRequest request;
  private final Limits limits;
  private final Listener listener;
  private final Channel channel;
  private Future<?> timeoutTask;
  private boolean ended;

  /** Connects and sends the request. */
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

  /** Ends the watch; the listener is not called any more. */
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
      end("it can't be reached: " + cause.getMessage());
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
              "it was silent for " + limits.silenceTimeoutMillis() + " ms");
      if (part instanceof HttpResponse response) {
        acceptHead(response);
      } else if (part instanceof StreamPart.Bytes chunk) {
        listener.bytesReceived(chunk.bytes());
      } else if (part instanceof StreamPart.End) {
        end("its response ended");
      }
    }

    /** A head, or a whole response if it was not in chunks. */
    private void acceptHead(HttpResponse response) {
      if (response.status() != 200) {
        end("unexpected status " + response.status());
      } else if (response.body().length > 0) {
        listener.bytesReceived(response.body());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("its connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(String.valueOf(FailStopDecoder.unwrap(cause).getMessage()));
    }
  }
}
