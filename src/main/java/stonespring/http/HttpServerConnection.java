package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.FailStopDecoder;
import stonespring.netty.IncompleteMessageException;

/**
 * A connection of a server. Passes requests to the handler one at a time and queues pipelined ones.
 * While the peer does not read its responses, no request is read or handled. State is confined to
 * the connection's event loop.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServerConnection.class);

  /** Reading from the connection pauses while this many requests are queued. */
  private static final int MAX_WAITING_REQUESTS = 16;

  private static final int STATUS_TIMEOUT = 408;
  private static final int STATUS_OVERLOADED = 503;

  private final HttpServer.Handler handler;
  private final HttpServerResources resources;
  private final ArrayDeque<HttpRequest> waitingRequests = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private boolean requestInProgress;
  private boolean handlingRequests;
  private boolean reading;

  HttpServerConnection(HttpServer.Handler handler, HttpServerResources resources) {
    this.handler = handler;
    this.resources = resources;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    resources.connections().add(this);
  }

  /** Closes the connection, which is idle, to make room for others. May be called by any thread. */
  void evict() {
    context.executor().execute(context::close);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
    reading = true;
    waitingRequests.add(request);
    handleWaiting();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reading = false;
    ctx.flush();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    handleWaiting();
  }

  /** Handles requests that wait, until one awaits its response or the peer reads too slowly. */
  private void handleWaiting() {
    if (handlingRequests) {
      return; // a handler responded at once; the loop below goes on
    }
    handlingRequests = true;
    while (!requestInProgress && !waitingRequests.isEmpty() && context.channel().isWritable()) {
      requestInProgress = true;
      resources.connections().markBusy(this);
      handler.handle(waitingRequests.poll(), new ConnectionExchange());
    }
    handlingRequests = false;
    if (!reading) {
      context.flush();
    }
    context
        .channel()
        .config()
        .setAutoRead(
            waitingRequests.size() < MAX_WAITING_REQUESTS && context.channel().isWritable());
  }

  private final class ConnectionExchange implements HttpServer.Exchange {
    @Override
    public void respond(HttpResponse response) {
      if (context.executor().inEventLoop()) {
        write(response);
      } else {
        context.executor().execute(() -> write(response));
      }
    }

    private void write(HttpResponse response) {
      context.write(HttpEncoder.encode(response));
      requestInProgress = false;
      if (context.channel().isActive()) {
        resources.connections().markIdle(HttpServerConnection.this);
      }
      handleWaiting();
    }

    @Override
    public Channel channel() {
      return context.channel();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    resources.connections().remove(this);
    waitingRequests.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable rootCause = FailStopDecoder.unwrap(cause);
    if (rootCause instanceof MalformedHttpException malformed) {
      endWith(malformed.status(), malformed.getMessage());
      return;
    }
    if (rootCause instanceof IncompleteMessageException incomplete) {
      endWith(status(incomplete), incomplete.getMessage());
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

  private static int status(IncompleteMessageException cause) {
    return cause.reason() == IncompleteMessageException.Cause.TIMEOUT
        ? STATUS_TIMEOUT
        : STATUS_OVERLOADED;
  }

  /** Ends the connection with an error response. */
  private void endWith(int status, String problem) {
    LOG.warn("http peer {}: connection closed: {}", context.channel().remoteAddress(), problem);
    HttpResponse response =
        HttpResponse.of(status, problem + "\n").setHeader("connection", "close");
    ChannelFuture written = context.writeAndFlush(HttpEncoder.encode(response));
    if (written.isDone()) {
      written.addListener(ChannelFutureListener.CLOSE);
    } else {
      context.close(); // the peer does not read; waiting for it could keep the connection forever
    }
  }
}
