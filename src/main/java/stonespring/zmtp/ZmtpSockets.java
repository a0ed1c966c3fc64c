package stonespring.zmtp;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listening and dialling sockets with the NULL mechanism. */
public final class ZmtpSockets {
  private static final Logger LOG = LoggerFactory.getLogger(ZmtpSockets.class);
  private static final int LISTEN_BACKLOG =
      2048; // connections; a whole fleet redials within a second
  private static final int CONNECT_MILLIS =
      3_000; // ms; loopback and neighbouring data centres answer in a few

  private ZmtpSockets() {}

  public static ChannelFuture listen(
      EventLoopGroup loops,
      SocketType own,
      SocketAddress address,
      ZmtpLimits limits,
      ZmtpEvents events) {
    AtomicInteger open = new AtomicInteger();
    return new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel child) {
                if (open.incrementAndGet() > limits.connections()) {
                  LOG.warn(
                      "zmtp {} peer {}: refused: over {} connections",
                      own,
                      child.remoteAddress(),
                      limits.connections());
                  open.decrementAndGet();
                  child.close();
                  return;
                }
                child.closeFuture().addListener(f -> open.decrementAndGet());
                fill(child, new ZmtpPeer(own, true, limits, events), limits);
              }
            })
        .bind(address);
  }

  public static ChannelFuture dial(
      EventLoopGroup loops,
      SocketType own,
      SocketAddress address,
      ZmtpLimits limits,
      ZmtpEvents events) {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                fill(channel, new ZmtpPeer(own, false, limits, events), limits);
              }
            })
        .connect(address);
  }

  private static void fill(Channel channel, ZmtpPeer peer, ZmtpLimits limits) {
    channel
        .config()
        .setWriteBufferWaterMark(
            new WriteBufferWaterMark(limits.pendingBytes() / 2, limits.pendingBytes()));
    channel.pipeline().addLast(new ZmtpDecoder(limits), peer);
  }
}
