package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.FailStopDecoder;
import stonespring.netty.IncompleteMessageException;

/**
 * A connection of a server. Passes requests to the handler one at a time and queues pipelined ones,
 * within the limits of {@link PipelinedRequests}; those beyond are answered with the handler's
 * rejection, in order.
 *
 * <p>The connection is read from while requests wait, so that its end is noticed and the requests
 * that wait are dropped. It is neither read from nor are further requests handled while the peer
 * does not read its responses. State is confined to the connection's event loop.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServerConnection.class);

  /** Requests that are handled or rejected before the other connections have their turn. */
  private static final int MAX_ANSWERS_PER_TURN = 64;

  /** A task that is due at once would run before the other connections are read from. */
  private static final long NEXT_TURN_MILLIS = 1;

  private static final int STATUS_TIMEOUT = 408;
  private static final int STATUS_OVERLOADED = 503;

  private final HttpServer.Handler handler;
  private final HttpServerResources resources;
  private final PipelinedRequests pipeline;
  private ChannelHandlerContext context;
  private boolean dispatching;
  private int answersThisTurn;
  private boolean nextTurnScheduled;
  private boolean reading;

  /** The response that ends the connection, once all earlier ones are sent; null if none. */
  private HttpResponse finalResponse;

  /** The request that is handled; null if there is none. */
  private HttpRequest current;

  HttpServerConnection(HttpServer.Handler handler, HttpServerResources resources) {
    this.handler = handler;
    this.resources = resources;
    this.pipeline = new PipelinedRequests(resources.messages());
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
    pipeline.add(request);
    dispatch();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reading = false;
    answersThisTurn = 0;
    ctx.flush();
    dispatch();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    dispatch();
  }

  /**
   * Handles or rejects requests that wait, until one awaits its response. Goes on in a later turn
   * of the event loop if there are many.
   */
  private void dispatch() {
    if (dispatching) {
      return; // a handler responded at once; the loop below goes on
    }
    dispatching = true;
    while (canAnswerNext() && answersThisTurn < MAX_ANSWERS_PER_TURN) {
      answersThisTurn++;
      answerNext();
    }
    dispatching = false;
    if (canAnswerNext() && !nextTurnScheduled) {
      nextTurnScheduled = true;
      context
          .executor()
          .schedule(this::dispatchInNextTurn, NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
    }
    if (!reading) {
      context.flush();
    }
    if (current == null && finalResponse != null && pipeline.isEmpty()) {
      sendFinalResponse();
    }
  }

  private void dispatchInNextTurn() {
    nextTurnScheduled = false;
    answersThisTurn = 0;
    dispatch();
  }

  private boolean canAnswerNext() {
    return current == null
        && !pipeline.isEmpty()
        && context.channel().isActive()
        && context.channel().isWritable();
  }

  private void answerNext() {
    if (pipeline.pollRejection()) {
      context.write(HttpEncoder.encode(handler.rejection()));
    } else {
      handle(pipeline.pollRequest());
    }
  }

  private void handle(HttpRequest request) {
    current = request;
    resources.connections().markBusy(this);
    handler.handle(request, new ConnectionExchange());
  }

  private void finishCurrent() {
    pipeline.release(current);
    current = null;
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
      if (current == null) {
        return; // the connection has ended
      }
      finishCurrent();
      resources.connections().markIdle(HttpServerConnection.this);
      context.write(HttpEncoder.encode(response));
      dispatch();
    }

    @Override
    public Channel channel() {
      return context.channel();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    resources.connections().remove(this);
    pipeline.clear();
    if (current != null) {
      finishCurrent();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Throwable rootCause = FailStopDecoder.unwrap(cause);
    if (rootCause instanceof MalformedHttpException malformed) {
      endWith(malformed.status(), malformed.getMessage());
    } else if (rootCause instanceof IncompleteMessageException incomplete) {
      endWith(status(incomplete), incomplete.getMessage());
    } else {
      if (!(rootCause instanceof IOException)) {
        LOG.error(
            "http peer {}: connection closed: unexpected exception in the connection's handler",
            ctx.channel().remoteAddress(),
            rootCause);
      }
      ctx.close();
    }
  }

  private static int status(IncompleteMessageException cause) {
    return cause.reason() == IncompleteMessageException.Cause.TIMEOUT
        ? STATUS_TIMEOUT
        : STATUS_OVERLOADED;
  }

  /** Ends the connection with an error response, after the responses to all earlier requests. */
  private void endWith(int status, String problem) {
    if (resources.closeLog().shouldLog()) {
      LOG.warn("http peer {}: connection closed: {}", context.channel().remoteAddress(), problem);
    }
    finalResponse = HttpResponse.of(status, problem + "\n").setHeader("connection", "close");
    dispatch();
  }

  private void sendFinalResponse() {
    ChannelFuture written = context.writeAndFlush(HttpEncoder.encode(finalResponse));
    finalResponse = null;
    if (written.isDone()) {
      written.addListener(ChannelFutureListener.CLOSE);
    } else {
      context.close(); // the peer does not read; waiting for it could keep the connection forever
    }
  }
}
