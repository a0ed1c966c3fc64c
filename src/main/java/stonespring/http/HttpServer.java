package stonespring.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.AcceptGate;
import stonespring.netty.FairReads;
import stonespring.netty.IncomingLimits;
import stonespring.netty.IncomingMessages;
import stonespring.netty.IncompleteMessageLimiter;
import stonespring.netty.LogRateLimit;

/**
 * An HTTP/1.1 server. The requests of a connection are handled one at a time, in order, on the
 * connection's event loop.
 */
public final class HttpServer {
  /** Handles requests; its methods are called on the connection's event loop. */
  public interface Handler {
    /** Handles a request; the response may be sent later and from any thread. */
    void handle(HttpRequest request, Exchange exchange);

    /**
     * Returns the response to a request that is not handled because too many wait. Called on the
     * connection's event loop.
     */
    default HttpResponse rejection() {
      return HttpResponse.of(503, "too many requests wait\n").setHeader("retry-after", "1");
    }

    /** Called for each new connection; returns false to close it. */
    default boolean accept(Channel channel) {
      return true;
    }
  }

  /** A request that awaits its response. */
  public interface Exchange {
    /** Sends the response. Must be called exactly once; may be called from any thread. */
    void respond(HttpResponse response);

    /** Returns the channel of the connection. */
    Channel channel();
  }

  private static final int ACCEPT_BACKLOG = 1024;

  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_CLOSE_LINES_PER_SECOND = 5;

  private final Handler handler;
  private final int maxBodyBytes;
  private final HttpServerResources resources;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;
  private Future<?> timeoutCheck;

  /**
   * Creates a server that does not listen yet, with the limits that this process's heap allows.
   *
   * @param maxBodyBytes the maximum size of a request body; larger requests are rejected
   */
  public HttpServer(Handler handler, int maxBodyBytes) {
    this(handler, maxBodyBytes, IncomingLimits.ofThisProcess());
  }

  /** Creates a server that does not listen yet. */
  public HttpServer(Handler handler, int maxBodyBytes, IncomingLimits limits) {
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
    this.resources =
        new HttpServerResources(
            new IncomingMessages(limits),
            new OpenConnections(limits.maxConnections()),
            new LogRateLimit(
                LOG, MAX_CLOSE_LINES_PER_SECOND, "connections closed because of their peers"));
  }

  /**
   * Binds the port and waits until it is bound.
   *
   * @param port 0 for any free port
   * @throws IOException if the port can't be bound
   */
  public HttpServer start(EventLoopGroup loops, String host, int port)
      throws IOException, InterruptedException {
    ChannelFuture bindFuture =
        FairReads.apply(new ServerBootstrap())
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .handler(new AcceptGate())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    initConnection(accepted);
                  }
                })
            .bind(new InetSocketAddress(host, port))
            .await();
    if (!bindFuture.isSuccess()) {
      throw new IOException(
          "can't listen at " + host + ":" + port + ": " + bindFuture.cause().getMessage());
    }
    listener = bindFuture.channel();
    timeoutCheck = resources.messages().startTimeoutChecks(listener.eventLoop());
    return this;
  }

  private void initConnection(SocketChannel accepted) {
    if (!handler.accept(accepted)) {
      accepted.close();
      return;
    }
    connections.add(accepted);
    HttpDecoder decoder = HttpDecoder.forRequests(maxBodyBytes);
    accepted
        .pipeline()
        .addLast(
            decoder,
            new IncompleteMessageLimiter(decoder, resources.messages()),
            new HttpServerConnection(handler, resources));
  }

  /** Returns the local port; valid once the server listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops listening and closes all connections; the future completes when the port is free. */
  public ChannelFuture stop() {
    timeoutCheck.cancel(false);
    connections.close();
    return listener.close();
  }

  /** Returns the open connections. */
  public ChannelGroup connections() {
    return connections;
  }
}
