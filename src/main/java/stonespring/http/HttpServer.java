package stonespring.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listens for HTTP/1.1. Each connection is answered in the order of its requests; further ones
 * wait, up to a bound at which nothing more is read from it. All of one connection's work is on its
 * event loop.
 */
public final class HttpServer {
  /**
   * Takes requests on the connection's event loop; the answer may be given later, from that loop or
   * another.
   */
  public interface Handler {
    void request(HttpMessage request, Exchange exchange);

    /** A connection opened; false refuses it. */
    default boolean opened(Channel channel) {
      return true;
    }

    default void closed(Channel channel) {}
  }

  /** One request's answer. */
  public interface Exchange {
    void answer(HttpMessage answer);

    Channel channel();
  }

  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int WAITING_MOST =
      16; // pipelined requests of one connection; then it isn't read

  private final Handler handler;
  private final int bodyMost;
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;

  public HttpServer(Handler handler, int bodyMost) {
    this.handler = handler;
    this.bodyMost = bodyMost;
  }

  /** Listens on the given loops; port 0 takes a free one. */
  public HttpServer start(EventLoopGroup loops, String host, int port)
      throws IOException, InterruptedException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel child) {
                    if (!handler.opened(child)) {
                      child.close();
                      return;
                    }
                    open.add(child);
                    child.pipeline().addLast(new HttpDecoder(true, bodyMost), new Connection());
                  }
                })
            .bind(new InetSocketAddress(host, port))
            .await();
    if (!bound.isSuccess()) {
      throw new IOException(
          "can't listen at " + host + ":" + port + ": " + bound.cause().getMessage());
    }
    listener = bound.channel();
    return this;
  }

  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops listening and ends all connections; the future is done once its port is free again. */
  public ChannelFuture stop() {
    open.close();
    return listener.close();
  }

  /** The connections that are open. */
  public ChannelGroup connections() {
    return open;
  }

  private final class Connection extends SimpleChannelInboundHandler<HttpMessage> {
    private final ArrayDeque<HttpMessage> waiting = new ArrayDeque<>();
    private boolean busy;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpMessage request) {
      waiting.add(request);
      ctx.channel().config().setAutoRead(waiting.size() < WAITING_MOST);
      next(ctx);
    }

    private void next(ChannelHandlerContext ctx) {
      HttpMessage request = busy ? null : waiting.poll();
      if (request == null) {
        return;
      }
      busy = true;
      ctx.channel().config().setAutoRead(waiting.size() < WAITING_MOST);
      handler.request(
          request,
          new Exchange() {
            @Override
            public void answer(HttpMessage answer) {
              if (ctx.executor().inEventLoop()) {
                write(answer);
              } else {
                ctx.executor().execute(() -> write(answer));
              }
            }

            private void write(HttpMessage answer) {
              ctx.writeAndFlush(answer.bytes(false));
              busy = false;
              next(ctx);
            }

            @Override
            public Channel channel() {
              return ctx.channel();
            }
          });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      waiting.clear();
      handler.closed(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable root =
          cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
      if (root instanceof MalformedHttpException) {
        LOG.warn(
            "http peer {}: connection ended: {}", ctx.channel().remoteAddress(), root.getMessage());
        ctx.writeAndFlush(
                HttpMessage.answer(400, root.getMessage() + "\n")
                    .with("connection", "close")
                    .bytes(false))
            .addListener(f -> ctx.close());
        return;
      }
      if (!(root instanceof IOException)) {
        LOG.error(
            "http peer {}: connection ended: its handler failed",
            ctx.channel().remoteAddress(),
            root);
      }
      ctx.close();
    }
  }
}
