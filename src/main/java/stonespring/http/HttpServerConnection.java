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
 * A server's connection: passes requests on one by one, while further ones wait. State lives on its
 * event loop.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServerConnection.class);

  /** At so many waiting requests nothing more is read. */
  private static final int MAX_WAITING_REQUESTS = 16;

  private final HttpServer.Handler handler;
  private final ArrayDeque<HttpRequest> waiting = new ArrayDeque<>();
  private boolean handling;

  HttpServerConnection(HttpServer.Handler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
    waiting.add(request);
    limitReading(ctx);
    handleNext(ctx);
  }

  private void limitReading(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(waiting.size() < MAX_WAITING_REQUESTS);
  }

  private void handleNext(ChannelHandlerContext ctx) {
    HttpRequest request = handling ? null : waiting.poll();
    if (request == null) {
      return;
    }
    handling = true;
    limitReading(ctx);
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
      handling = false;
      handleNext(ctx);
    }

    @Override
    public Channel channel() {
      return ctx.channel();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    waiting.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable root = FailStopDecoder.unwrap(cause);
    if (root instanceof MalformedHttpException) {
      LOG.warn(
          "http peer {}: connection closed: {}", ctx.channel().remoteAddress(), root.getMessage());
      HttpResponse response =
          HttpResponse.of(400, root.getMessage() + "\n").setHeader("connection", "close");
      ctx.writeAndFlush(HttpEncoder.encode(response)).addListener(future -> ctx.close());
      return;
    }
    if (!(root instanceof IOException)) {
      LOG.error(
          "http peer {}: connection closed: its handler failed",
          ctx.channel().remoteAddress(),
          root);
    }
    ctx.close();
  }
}
