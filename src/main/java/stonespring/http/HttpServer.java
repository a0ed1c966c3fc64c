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
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * An HTTP/1.1 server. Requests of one connection are handled one after the other, in order, on its
 * event loop.
 */
public final class HttpServer {
  /** Handles requests; called on the connection's event loop. */
  public interface Handler {
    /** Handles a request; the response may be given later, from any thread. */
    void handle(HttpRequest request, Exchange exchange);

    /** A connection was accepted; false closes it. */
    default boolean accept(Channel channel) {
      return true;
    }
  }

  /** One request and the response that it is to get. */
  public interface Exchange {
    /** Sends the response; must be called once, from any thread. */
    void respond(HttpResponse response);

    /** The connection. */
    Channel channel();
  }

  private static final int ACCEPT_BACKLOG = 1024;

  private final Handler handler;
  private final int maxBodyBytes;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;

  /** Creates a server; it does not listen yet. */
  public HttpServer(Handler handler, int maxBodyBytes) {
    this.handler = handler;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Listens, and waits until it does.
   *
   * @param port 0 for any free one
   * @throws IOException if it can't listen
   */
  public HttpServer start(EventLoopGroup loops, String host, int port)
      throws IOException, InterruptedException {
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
    return this;
  }

  private void initConnection(SocketChannel accepted) {
    if (!handler.accept(accepted)) {
      accepted.close();
      return;
    }
    connections.add(accepted);
    accepted
        .pipeline()
        .addLast(HttpDecoder.forRequests(maxBodyBytes), new HttpServerConnection(handler));
  }

  /** The local port, once it listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops listening and closes all connections; the future is done once the port is free. */
  public ChannelFuture stop() {
    connections.close();
    return listener.close();
  }

  /** The open connections. */
  public ChannelGroup connections() {
    return connections;
  }
}
