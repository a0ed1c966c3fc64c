package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.FailStopDecoder;

/**
 * A connection of a server. Passes requests to the handler one at a time and queues pipelined ones.
 * State is confined to the connection's event loop.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServerConnection.class);

  /** Reading from the connection pauses while this many requests are queued. */
  private static final int MAX_WAITING_REQUESTS = 16;

  private final HttpServer.Handler handler;
  private final ArrayDeque<HttpRequest> waitingRequests = new ArrayDeque<>();
  private boolean requestInProgress;

  HttpServerConnection(HttpServer.Handler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
    waitingRequests.add(request);
    updateAutoRead(ctx);
    handleNext(ctx);
  }

  private void updateAutoRead(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(waitingRequests.size() < MAX_WAITING_REQUESTS);
  }

  private void handleNext(ChannelHandlerContext ctx) {
    HttpRequest request = requestInProgress ? null : waitingRequests.poll();
    if (request == null) {
      return;
    }
    requestInProgress = true;
    updateAutoRead(ctx);
    handler.handle(request, new ConnectionExchange(ctx));
  }

  private final class ConnectionExchange implements HttpServer.Exchange {
    private final ChannelHandlerContext ctx;

    ConnectionExchange(ChannelHandlerContext ctx) {
      this.ctx = ctx;
    }

    @Override
    public void respond(HttpResponse response) {
      if (ctx.executor().inEventLoop()) {
        write(response);
      } else {
        ctx.executor().execute(() -> write(response));
      }
    }

    private void write(HttpResponse response) {
      ctx.writeAndFlush(HttpEncoder.encode(response));
      requestInProgress = false;
      handleNext(ctx);
    }

    @Override
    public Channel channel() {
      return ctx.channel();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    waitingRequests.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable rootCause = FailStopDecoder.unwrap(cause);
    if (rootCause instanceof MalformedHttpException) {
      LOG.warn(
          "http peer {}: connection closed: {}",
          ctx.channel().remoteAddress(),
          rootCause.getMessage());
      HttpResponse response =
          HttpResponse.of(400, rootCause.getMessage() + "\n").setHeader("connection", "close");
      ctx.writeAndFlush(HttpEncoder.encode(response)).addListener(future -> ctx.close());
      return;
    }
    if (!(rootCause instanceof IOException)) {
      LOG.error(
          "http peer {}: connection closed: unexpected exception in the connection's handler",
          ctx.channel().remoteAddress(),
          rootCause);
    }
    ctx.close();
  }
}
