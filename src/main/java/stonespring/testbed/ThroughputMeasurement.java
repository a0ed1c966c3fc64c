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

/**
 * Compares the throughput of the publisher with that of Netty channels to which the same encoded
 * updates are written directly.
 */
public final class ThroughputMeasurement {
  private static final int BATCH_SIZE = 200; // updates in one publish call
  private static final int READERS = 8;

  /** Large enough that the publisher disconnects no reader for being slow. */
  private static final int MAX_QUEUED_BYTES = 1 << 30;

  /** Bytes that a reader receives from the server during the ZMTP handshake. */
  private static final int GREETING_AND_READY_BYTES = 64 + 27;

  private static final int TIMEOUT_SECONDS = 120;

  private ThroughputMeasurement() {}

  /** Measures both alternately in each round, and returns a report of rates and their ratios. */
  public static String run(int updates, int rounds) throws Exception {
    StringBuilder out = new StringBuilder();
    List<Double> ratios = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      double publishedPerSecond = measurePublisher(updates);
      double writtenPerSecond = measureBareNetty(updates);
      ratios.add(publishedPerSecond / writtenPerSecond);
      out.append(
          String.format(
              "round %d: %.0f updates a second published, %.0f written bare, ratio %.2f%n",
              round + 1,
              publishedPerSecond,
              writtenPerSecond,
              publishedPerSecond / writtenPerSecond));
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

  private static double measurePublisher(int updates) throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    ChpServer server = new ChpServer(loops, limitsWithLargeQueue(), new EmptyBackend());
    server.start("127.0.0.1", 0);
    long expectedBytes = 0;
    for (int i = 0; i < updates; i++) {
      expectedBytes += encodedBytes(update(i));
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
    for (int from = 0; from < updates; from += BATCH_SIZE) {
      List<ChpMessage.KvPub> batch = new ArrayList<>();
      for (int i = from; i < Math.min(updates, from + BATCH_SIZE); i++) {
        batch.add(update(i));
      }
      server.publish(batch);
    }
    double seconds = awaitBytes(readers, bytesBefore + expectedBytes, startNanos);
    server.stop(100);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    return updates / seconds;
  }

  private static ZmtpLimits limitsWithLargeQueue() {
    ZmtpLimits defaults = ZmtpLimits.DEFAULT;
    return new ZmtpLimits(
        defaults.maxFrameBytes(),
        defaults.maxMessageBytes(),
        defaults.maxFrames(),
        MAX_QUEUED_BYTES,
        defaults.maxSubscriptions(),
        defaults.handshakeTimeoutMillis(),
        defaults.maxConnections());
  }

  /**
   * Publishes probes until each reader has received more than the handshake, which shows that its
   * subscription is in force.
   */
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

  private static int encodedBytes(ChpMessage.KvPub update) {
    return update.frames().stream()
        .mapToInt(frame -> frame.length + (frame.length > 255 ? 9 : 2))
        .sum();
  }

  private static double measureBareNetty(int updates) throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CountDownLatch accepted = new CountDownLatch(READERS);
    List<Channel> channels = new CopyOnWriteArrayList<>();
    DefaultChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    ChannelInitializer<SocketChannel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel child) {
            channels.add(child);
            openChannels.add(child);
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
    for (int from = 0; from < updates; from += BATCH_SIZE) {
      List<byte[]> batch = messages.subList(from, Math.min(updates, from + BATCH_SIZE));
      int firstIndex = from;
      loops.next().execute(() -> write(batch, firstIndex, channels));
    }
    double seconds = awaitBytes(readers, expectedBytes, startNanos);
    openChannels.close();
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

  private static void write(List<byte[]> batch, int firstIndex, List<Channel> channels) {
    for (int i = 0; i < batch.size(); i++) {
      Channel channel = channels.get((firstIndex + i) % READERS);
      byte[] message = batch.get(i);
      channel.write(
          channel.alloc().buffer(message.length).writeBytes(message), channel.voidPromise());
    }
    channels.forEach(Channel::flush);
  }

  /**
   * Waits until the readers have received the expected bytes in total, closes them, and returns the
   * seconds since {@code startNanos}.
   */
  private static double awaitBytes(
      List<CountingReader> readers, long expectedBytes, long startNanos)
      throws IOException, InterruptedException {
    while (CountingReader.totalBytes(readers) < expectedBytes) {
      if (System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
        throw new IOException(
            "benchmark readers received only "
                + CountingReader.totalBytes(readers)
                + " of "
                + expectedBytes
                + " bytes within "
                + TIMEOUT_SECONDS
                + " s");
      }
      Thread.sleep(0, 200_000);
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    for (CountingReader reader : readers) {
      reader.close();
    }
    return seconds;
  }

  /** A backend without keys. */
  private static final class EmptyBackend implements ChpBackend {
    @Override
    public void snapshotRequested(ZmtpConnection peer, String subtree) {}

    @Override
    public void keySet(ZmtpConnection peer, ChpMessage.KvSet set) {}

    @Override
    public void collectorClosed(ZmtpConnection peer) {}
  }
}
