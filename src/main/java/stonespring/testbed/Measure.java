package stonespring.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import stonespring.chp.ChpBackend;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.chp.ChpServer;
import stonespring.config.InstanceSettings;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointId;
import stonespring.model.RetrySafety;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;
import stonespring.proxy.routing.RouterSettings;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpEncoder;
import stonespring.zmtp.ZmtpLimits;

/**
 * Measurements of a running assigner, in a process of its own, and of the channel beside bare
 * sockets in one run.
 */
public final class Measure {
  private static final int BATCH = 200; // updates published at once
  private static final int READERS = 8;

  private Measure() {}

  /**
   * What a fleet of idle proxies does to an assigner; {@code spreadMillis}: all dial within that
   * time.
   */
  public static String fleet(Path script, int proxies, long spreadMillis, long seconds, Path folder)
      throws Exception {
    InstanceSettings settings = InstanceSettings.read(script);
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    Path log = folder.resolve("assigner.log");
    Files.deleteIfExists(log);
    AssignerProcess assigner =
        new AssignerProcess(script, FreePorts.take(3), 0, folder.resolve("saved.json"), log);
    assigner.start();
    AtomicReference<String> status = new AtomicReference<>("");
    follow(assigner.port(), (EventLoop) loops.next(), status);
    try {
      Thread.sleep(3000); // its first turns and the compiler's first work
      long before = assigner.residentBytes();
      List<Proxy> all = new ArrayList<>();
      long began = System.nanoTime();
      for (int i = 0; i < proxies; i++) {
        all.add(
            new Proxy(settings(settings, i, assigner.port()), (EventLoop) loops.next())
                .start(loops, 0));
        long due = began + TimeUnit.MILLISECONDS.toNanos(spreadMillis * i / proxies);
        while (System.nanoTime() < due) {
          Thread.sleep(1);
        }
      }
      double dialled = (System.nanoTime() - began) / 1e9;
      while (all.stream().anyMatch(proxy -> proxy.appliedUpdates() == 0)) {
        if ((System.nanoTime() - began) / 1e9 > 300) {
          return "not all proxies hold a table after 300 s; status " + status.get();
        }
        Thread.sleep(5);
      }
      double held = (System.nanoTime() - began) / 1e9;
      Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
      long after = assigner.residentBytes();
      String last = status.get();
      for (Proxy proxy : all) {
        proxy.stop();
      }
      assigner.stop();
      String stopped =
          Files.readAllLines(log).stream()
              .filter(line -> line.contains(" stopped: "))
              .findFirst()
              .orElse("");
      return String.format(
          "%d proxies dialled within %.2f s, all held a table after %.2f s%nstatus after %d s more: %s%n"
              + "resident memory %.1f MB before, %.1f MB after: %.1f KB a proxy%n%s%n",
          proxies,
          dialled,
          held,
          seconds,
          last,
          before / 1e6,
          after / 1e6,
          (after - before) / 1e3 / proxies,
          stopped.replaceAll("^.*stopped: ", "moments: "));
    } finally {
      if (assigner.alive()) {
        assigner.kill();
      }
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static ProxySettings settings(InstanceSettings of, int i, int port) {
    List<RouterSettings.ClassSettings> types =
        of.requestClasses().names().stream()
            .map(n -> new RouterSettings.ClassSettings(n, RetrySafety.IDEMPOTENT, 0))
            .toList();
    RouterSettings router =
        new RouterSettings(
            types, 0, 0, 0, 500, RouterSettings.Picking.TWO_CHOICES, AdmissionLimitKind.FRACTION);
    return new ProxySettings(
        "p" + i,
        of.zones().get(i % of.zones().size()),
        i,
        router,
        StandIns.opTimeouts(of),
        List.of(new EndpointId("m1@127.0.0.1:9101")),
        2,
        new ProxySettings.InstanceLink(
            List.of(new ProxySettings.Ports("127.0.0.1", port, port + 1, port + 2)),
            0,
            of.settings().reportInterval() / 10,
            10_000,
            200,
            400,
            9));
  }

  private static void follow(int port, EventLoop loop, AtomicReference<String> status) {
    new ChpClient(
            loop,
            "/assigner/",
            60_000,
            new ChpClient.Listener() {
              @Override
              public void snapshot(List<ChpMessage.KvSync> keys, long sequence) {
                keys.forEach(key -> status.set(new String(key.value(), StandardCharsets.UTF_8)));
              }

              @Override
              public void update(ChpMessage.KvPub update) {
                status.set(new String(update.value(), StandardCharsets.UTF_8));
              }

              @Override
              public void ended(String cause) {
                // the assigner is stopped at the end
              }
            })
        .connect("127.0.0.1", port, false, ZmtpLimits.DEFAULT);
  }

  /**
   * Updates through the publisher, and the same bytes by bare Netty, each {@code rounds} times by
   * turns; the ratios.
   */
  public static String throughput(int updates, int rounds) throws Exception {
    StringBuilder out = new StringBuilder();
    List<Double> ratios = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      double ours = published(updates);
      double bare = bare(updates);
      ratios.add(ours / bare);
      out.append(
          String.format(
              "round %d: %.0f updates a second published, %.0f written bare, ratio %.2f%n",
              round + 1, ours, bare, ours / bare));
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
        ChpMessage.NONE,
        ChpMessage.NONE,
        "0.125".getBytes(StandardCharsets.US_ASCII));
  }

  private static double published(int updates) throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    ZmtpLimits usual = ZmtpLimits.DEFAULT;
    ChpServer server =
        new ChpServer(
            loops,
            new ZmtpLimits(
                usual.maxFrameBytes(),
                usual.maxMessageBytes(),
                usual.maxFrames(),
                1 << 30,
                usual.maxSubscriptions(),
                usual.handshakeTimeoutMillis(),
                usual.maxConnections()),
            new Nothing());
    server.start("127.0.0.1", 0);
    long expected = 0;
    for (int i = 0; i < updates; i++) {
      expected += size(update(i));
    }
    List<Sink> sinks = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      Sink sink = new Sink(server.port() + 1);
      byte[] prefix = ("\1/proxy/p" + i + "/").getBytes(StandardCharsets.US_ASCII);
      sink.socket
          .getOutputStream()
          .write(
              HexFormat.of()
                  .parseHex(
                      "FF00000000000000007F03004E554C4C"
                          + "00".repeat(48)
                          + "04190552454144590B536F636B65742D5479706500000003535542"));
      sink.socket.getOutputStream().write(new byte[] {0, (byte) prefix.length});
      sink.socket.getOutputStream().write(prefix);
      sinks.add(sink);
    }
    // The greeting and READY come back; after them the subscription is in force once a probe
    // arrives.
    for (int i = 0; i < READERS; i++) {
      while (sinks.get(i).count.get() <= 64 + 27) {
        server.publish(List.of(update(i)));
        Thread.sleep(2);
      }
    }
    Thread.sleep(100);
    long already = sinks.stream().mapToLong(s -> s.count.get()).sum();
    long began = System.nanoTime();
    for (int i = 0; i < updates; i += BATCH) {
      List<ChpMessage.KvPub> batch = new ArrayList<>();
      for (int k = i; k < Math.min(updates, i + BATCH); k++) {
        batch.add(update(k));
      }
      server.publish(batch);
    }
    double seconds = await(sinks, already + expected, began);
    server.stop(100);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    return updates / seconds;
  }

  private static int size(ChpMessage.KvPub update) {
    return update.frames().stream().mapToInt(f -> f.length + (f.length > 255 ? 9 : 2)).sum();
  }

  private static double bare(int updates) throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CountDownLatch accepted = new CountDownLatch(READERS);
    List<Channel> channels = new java.util.concurrent.CopyOnWriteArrayList<>();
    DefaultChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    Channel listener =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel child) {
                    channels.add(child);
                    open.add(child);
                    accepted.countDown();
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    List<Sink> sinks = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      sinks.add(new Sink(((InetSocketAddress) listener.localAddress()).getPort()));
    }
    accepted.await();
    List<byte[]> messages = new ArrayList<>();
    long expected = 0;
    for (int i = 0; i < updates; i++) {
      ByteBuf bytes = ZmtpEncoder.message(PooledByteBufAllocator.DEFAULT, update(i).frames());
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      bytes.release();
      messages.add(copy);
      expected += copy.length;
    }
    long began = System.nanoTime();
    for (int i = 0; i < updates; i += BATCH) {
      int from = i;
      loops
          .next()
          .execute(
              () -> {
                for (int k = from; k < Math.min(updates, from + BATCH); k++) {
                  Channel to = channels.get(k % READERS);
                  to.write(
                      to.alloc().buffer(messages.get(k).length).writeBytes(messages.get(k)),
                      to.voidPromise());
                }
                channels.forEach(Channel::flush);
              });
    }
    double seconds = await(sinks, expected, began);
    open.close();
    listener.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    return updates / seconds;
  }

  private static double await(List<Sink> sinks, long bytes, long began) throws Exception {
    while (sinks.stream().mapToLong(s -> s.count.get()).sum() < bytes) {
      if (System.nanoTime() - began > TimeUnit.SECONDS.toNanos(120)) {
        throw new IOException(
            "only "
                + sinks.stream().mapToLong(s -> s.count.get()).sum()
                + " of "
                + bytes
                + " bytes came");
      }
      Thread.sleep(0, 200_000);
    }
    double seconds = (System.nanoTime() - began) / 1e9;
    for (Sink sink : sinks) {
      sink.socket.close();
    }
    return seconds;
  }

  /** Reads all that comes and counts it. */
  private static final class Sink {
    private final Socket socket;
    private final AtomicLong count = new AtomicLong();

    Sink(int port) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), port);
      Thread reader =
          new Thread(
              () -> {
                byte[] buffer = new byte[1 << 16];
                try (InputStream in = socket.getInputStream()) {
                  for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    count.addAndGet(n);
                  }
                } catch (IOException e) {
                  // closed at the round's end
                }
              },
              "sink");
      reader.setDaemon(true);
      reader.start();
    }
  }

  /** A server with nothing behind it. */
  private static final class Nothing implements ChpBackend {
    @Override
    public void snapshotRequested(ZmtpConnection peer, String subtree) {}

    @Override
    public void keySet(ZmtpConnection peer, ChpMessage.KvSet set) {}

    @Override
    public void collectorClosed(ZmtpConnection peer) {}
  }
}
