package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP/1.1 client that reuses idle connections and runs one call at a time on each. State is
 * confined to one event loop; all methods must be called on it.
 */
public final class HttpClient {
  private final Connector connector;
  private final int connectTimeoutMillis;
  private final int maxBodyBytes;
  private final int maxIdlePerAddress;

  /** Idle connections by address, the longest idle first. */
  private final Map<InetSocketAddress, ArrayDeque<Channel>> idleConnections = new HashMap<>();

  private long openedConnections;

  /** Creates a client on an event loop; see {@link #HttpClient(Connector, int, int, int)}. */
  public HttpClient(
      EventLoop loop, int connectTimeoutMillis, int maxBodyBytes, int maxIdlePerAddress) {
    this(new Connector(loop), connectTimeoutMillis, maxBodyBytes, maxIdlePerAddress);
  }

  /**
   * Creates a client on the connector's event loop.
   *
   * @param connectTimeoutMillis the maximum time to establish a connection
   * @param maxBodyBytes the maximum size of a response body; a larger one fails the call
   * @param maxIdlePerAddress the maximum number of idle connections kept per server address
   */
  public HttpClient(
      Connector connector, int connectTimeoutMillis, int maxBodyBytes, int maxIdlePerAddress) {
    this.connector = connector;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.maxBodyBytes = maxBodyBytes;
    this.maxIdlePerAddress = maxIdlePerAddress;
  }

  /** Returns the number of connections established so far. */
  public long openedConnections() {
    return openedConnections;
  }

  /**
   * Sends a request, on an idle connection if there is one, otherwise on a new connection.
   *
   * @param timeoutMillis the maximum duration of the call, connecting included
   * @param listener receives the result once, on the event loop
   * @return an action that cancels the call, whose result is then {@link HttpCallFailure#TIMED_OUT}
   */
  public Runnable call(
      InetSocketAddress address,
      HttpRequest request,
      long timeoutMillis,
      Consumer<HttpCallResult> listener) {
    Call call = new Call(address, request, listener);
    call.timeoutTask =
        connector.loop().schedule(call::timeOut, timeoutMillis, TimeUnit.MILLISECONDS);
    Channel idle = takeIdle(address);
    if (idle != null) {
      call.sendOn(idle);
    } else {
      call.connect();
    }
    return call::timeOut;
  }

  /**
   * Removes and returns the open connection that was idle for the shortest time; null if there is
   * none.
   */
  private Channel takeIdle(InetSocketAddress address) {
    ArrayDeque<Channel> idle = idleConnections.get(address);
    while (idle != null && !idle.isEmpty()) {
      Channel channel = idle.pollLast();
      if (channel.isActive()) {
        return channel;
      }
    }
    return null;
  }

  private void addIdle(InetSocketAddress address, Channel channel) {
    ArrayDeque<Channel> idle = idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
    idle.add(channel);
    if (idle.size() > maxIdlePerAddress) {
      idle.poll().close();
    }
  }

  /** Closes the idle connections to an address; calls in progress continue. */
  public void closeIdle(InetSocketAddress address) {
    ArrayDeque<Channel> idle = idleConnections.remove(address);
    if (idle != null) {
      idle.forEach(Channel::close);
    }
  }

  /** Closes all idle connections; calls in progress continue. */
  public void close() {
    for (ArrayDeque<Channel> idle : idleConnections.values()) {
      idle.forEach(Channel::close);
    }
    idleConnections.clear();
  }

  /** A call in progress. */
  private final class Call implements Connector.Listener {
    private final InetSocketAddress address;
    private final HttpRequest request;
    private final Consumer<HttpCallResult> listener;
    private Future<?> timeoutTask;
    private Channel channel;
    private boolean ended;

    Call(InetSocketAddress address, HttpRequest request, Consumer<HttpCallResult> listener) {
      this.address = address;
      this.request = request;
      this.listener = listener;
    }

    void connect() {
      channel =
          connector.connect(
              address,
              connectTimeoutMillis,
              this,
              HttpDecoder.forResponses(maxBodyBytes),
              new ResponseHandler());
    }

    @Override
    public void connected() {
      if (!ended) {
        openedConnections++;
        sendOn(channel);
      }
    }

    @Override
    public void connectFailed(Throwable cause) {
      fail(HttpCallFailure.CONNECT_FAILED);
    }

    void sendOn(Channel connection) {
      channel = connection;
      connection.pipeline().get(ResponseHandler.class).currentCall = this;
      connection.writeAndFlush(HttpEncoder.encode(request));
    }

    void timeOut() {
      fail(HttpCallFailure.TIMED_OUT);
    }

    void fail(HttpCallFailure failure) {
      if (!ended) {
        finish();
        // The connection can't be reused: the response to this call may still arrive on it.
        Connector.close(channel);
        listener.accept(new HttpCallResult.Failed(failure));
      }
    }

    void complete(HttpResponse response) {
      if (!ended) {
        finish();
        if (response.header("connection").equalsIgnoreCase("close")) {
          Connector.close(channel);
        } else {
          addIdle(address, channel);
        }
        listener.accept(new HttpCallResult.Completed(response));
      }
    }

    private void finish() {
      ended = true;
      timeoutTask.cancel(false);
      ResponseHandler handler = channel.pipeline().get(ResponseHandler.class);
      if (handler != null) {
        handler.currentCall = null;
      }
    }
  }

  /** Passes responses and errors of a connection to its current call. */
  private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpResponse> {
    /** Null while the connection is idle. */
    private Call currentCall;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpResponse response) {
      if (currentCall == null) {
        ctx.close(); // a response without a request
      } else if (!response.isInformational()) {
        currentCall.complete(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (currentCall != null) {
        currentCall.fail(HttpCallFailure.CONNECTION_LOST);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Closing the connection may fail the call as CONNECTION_LOST, which resets currentCall.
      Call failed = currentCall;
      ctx.close();
      if (failed != null) {
        failed.fail(
            cause instanceof IOException
                ? HttpCallFailure.CONNECTION_LOST
                : HttpCallFailure.MALFORMED_RESPONSE);
      }
    }
  }
}
