package stonespring.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import stonespring.chp.ChpBackend;
import stonespring.chp.ChpMessage;
import stonespring.chp.ChpServer;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpEncoder;
import stonespring.zmtp.ZmtpLimits;

/** Measures updates through the publisher beside the same bytes written by bare Netty. */
public final class ThroughputMeasurement {
  private static final int BATCH = 200; // updates that are published at once
  private static final int READERS = 8;
  private static final int MAX_QUEUED_BYTES = 1 << 30; // no reader is dropped as too slow
  private static final int GREETING_AND_READY_BYTES = 64 + 27;
  private static final int MAX_SECONDS = 120;

  private ThroughputMeasurement() {}

  /** Measures both by turns, {@code rounds} times, and returns the report with the ratios. */
  public static String run(int updates, int rounds) throws Exception {
    StringBuilder out = new StringBuilder();
    List<Double> ratios = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      double published = publishedPerSecond(updates);
      double bare = writtenBarePerSecond(updates);
      ratios.add(published / bare);
      out.append(
          String.format(
              "round %d: %.0f updates a second published, %.0f written bare, ratio %.2f%n",
              round + 1, published, bare, published / bare));
    }
    ratios.sort(null);
    return out.append(
            String.format(
                "ratio: least %.2f, median %.2f, most %.2f; %d readers, %d updates a round%n",
                ratios.get(0), ratios.get(rounds / 2), ratios.get(rounds - 1), READERS, updates))
        .toString();
  }

  private static ChpMessage.KvPub update(int i) {
    return new ChpMessage.KvPub(
        "/proxy/p" + i % READERS + "/line/7/task-" + i % 50 + "@127.0.0.1:9000",
        i + 1,
        ChpMessage.EMPTY_FRAME,
        ChpMessage.EMPTY_FRAME,
        "0.125".getBytes(StandardCharsets.US_ASCII));
  }

  private static double publishedPerSecond(int updates) throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    ChpServer server = new ChpServer(loops, limits(), new EmptyBackend());
    server.start("127.0.0.1", 0);
    long expectedBytes = 0;
    for (int i = 0; i < updates; i++) {
      expectedBytes += wireBytes(update(i));
    }
    List<CountingReader> readers = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      CountingReader reader = new CountingReader(server.port() + 1);
      reader.subscribe("/proxy/p" + i + "/");
      readers.add(reader);
    }
    awaitSubscriptions(server, readers);
    long bytesBefore = CountingReader.totalBytes(readers);
    long startNanos = System.nanoTime();
    for (int from = 0; from < updates; from += BATCH) {
      List<ChpMessage.KvPub> batch = new ArrayList<>();
      for (int i = from; i < Math.min(updates, from + BATCH); i++) {
        batch.add(update(i));
      }
      server.publish(batch);
    }
    double seconds = awaitBytes(readers, bytesBefore + expectedBytes, startNanos);
    server.stop(100);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    return updates / seconds;
  }

  private static ZmtpLimits limits() {
    ZmtpLimits usual = ZmtpLimits.DEFAULT;
    return new ZmtpLimits(
        usual.maxFrameBytes(),
        usual.maxMessageBytes(),
        usual.maxFrames(),
        MAX_QUEUED_BYTES,
        usual.maxSubscriptions(),
        usual.handshakeTimeoutMillis(),
        usual.maxConnections());
  }

  /** Publishes until each reader has more than the handshake: its subscription is in force. */
  private static void awaitSubscriptions(ChpServer server, List<CountingReader> readers)
      throws InterruptedException {
    for (int i = 0; i < READERS; i++) {
      while (readers.get(i).bytesRead() <= GREETING_AND_READY_BYTES) {
        server.publish(List.of(update(i)));
        Thread.sleep(2);
      }
    }
    Thread.sleep(100);
  }

  private static int wireBytes(ChpMessage.KvPub update) {
    return update.frames().stream()
        .mapToInt(frame -> frame.length + (frame.length > 255 ? 9 : 2))
        .sum();
  }

  private static double writtenBarePerSecond(int updates) throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CountDownLatch accepted = new CountDownLatch(READERS);
    List<Channel> channels = new CopyOnWriteArrayList<>();
    DefaultChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    ChannelInitializer<SocketChannel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel child) {
            channels.add(child);
            open.add(child);
            accepted.countDown();
          }
        };
    Channel listener =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childHandler(initializer)
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    List<CountingReader> readers = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      readers.add(new CountingReader(((InetSocketAddress) listener.localAddress()).getPort()));
    }
    accepted.await();
    List<byte[]> messages = new ArrayList<>();
    long expectedBytes = 0;
    for (int i = 0; i < updates; i++) {
      byte[] message = encode(update(i));
      messages.add(message);
      expectedBytes += message.length;
    }
    long startNanos = System.nanoTime();
    for (int from = 0; from < updates; from += BATCH) {
      List<byte[]> batch = messages.subList(from, Math.min(updates, from + BATCH));
      int first = from;
      loops.next().execute(() -> write(batch, first, channels));
    }
    double seconds = awaitBytes(readers, expectedBytes, startNanos);
    open.close();
    listener.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    return updates / seconds;
  }

  private static byte[] encode(ChpMessage.KvPub update) {
    ByteBuf encoded = ZmtpEncoder.encodeMessage(PooledByteBufAllocator.DEFAULT, update.frames());
    byte[] copy = new byte[encoded.readableBytes()];
    encoded.readBytes(copy);
    encoded.release();
    return copy;
  }

  private static void write(List<byte[]> batch, int first, List<Channel> channels) {
    for (int i = 0; i < batch.size(); i++) {
      Channel channel = channels.get((first + i) % READERS);
      byte[] message = batch.get(i);
      channel.write(
          channel.alloc().buffer(message.length).writeBytes(message), channel.voidPromise());
    }
    channels.forEach(Channel::flush);
  }

  /** Waits until the readers have so many bytes, closes them, and returns the seconds it took. */
  private static double awaitBytes(List<CountingReader> readers, long bytes, long startNanos)
      throws IOException, InterruptedException {
    while (CountingReader.totalBytes(readers) < bytes) {
      if (System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(MAX_SECONDS)) {
        throw new IOException(
            "only " + CountingReader.totalBytes(readers) + " of " + bytes + " bytes arrived");
      }
      Thread.sleep(0, 200_000);
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    for (CountingReader reader : readers) {
      reader.close();
    }
    return seconds;
  }

  /** Holds no keys. */
  private static final class EmptyBackend implements ChpBackend {
    @Override
    public void snapshotRequested(ZmtpConnection peer, String subtree) {}

    @Override
    public void keySet(ZmtpConnection peer, ChpMessage.KvSet set) {}

    @Override
    public void collectorClosed(ZmtpConnection peer) {}
  }
}
