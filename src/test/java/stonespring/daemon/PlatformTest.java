package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.config.InvalidConfigException;
import stonespring.config.PlatformConfig;
import stonespring.http.CallByHand;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.RouteTableId;

/** The assigner as a process of its own, started as the platform does, on loopback. */
final class PlatformTest {
  private static final int WAIT = 20_000; // ms; an upper bound, every wait ends with its event
  private static final String SETTINGS =
      """
            {"balancers":1,"discovery":"on_request","roundS":0.001,"zones":["west","east"],
             "categories":[{"name":"look","repeat":"free","goalTimeS":0.4,"gain":1.0},
                           {"name":"buy","repeat":"single_shot","goalTimeS":0.9,"gain":4.0}],
             "familyInfo":{"levelKind":"share","backlog":3000,"perMessage":5,"pushRate":1500.0,"emptyForS":6.0,
                           "bootstrap":3,"proxyCount":8,"reportEveryS":0.5},
             "rules":{"coldS":12.0,"coldShare":0.3,"fallMultiple":2.5},"prices":{"crossZone":0.1}}""";
  @TempDir private Path folder;
  private final List<AutoCloseable> open = new ArrayList<>();
  private ServerSocket discovery;
  private Process process;

  @BeforeEach
  void start() throws Exception {
    discovery = server();
  }

  @AfterEach
  void stop() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    for (AutoCloseable one : open) {
      one.close();
    }
  }

  private static String host(String name, String zone) {
    return "{\"host\":\""
        + name
        + "\",\"site\":\""
        + zone
        + "\",\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}";
  }

  private static String list(int version, String... hosts) {
    return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
  }

  private String config(int discoveryPort) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + discoveryPort
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256},\"known\":"
        + list(4, host("s-1", "west"), host("s-2", "east"))
        + ",\"settings\":"
        + SETTINGS
        + "}";
  }

  private Process run(String text) throws IOException {
    Path file = folder.resolve("config.json");
    Files.writeString(file, text);
    process = builder(file).start();
    return process;
  }

  private ServerSocket server() throws IOException {
    ServerSocket server = new ServerSocket(0, 50, java.net.InetAddress.getByName("127.0.0.1"));
    server.setSoTimeout(WAIT);
    open.add(server);
    return server;
  }

  /** As {@link #run}, after a shell's command that the process inherits the effect of. */
  private void runAfter(String shell, String text) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), text);
    ProcessBuilder builder = builder(file);
    List<String> command = new ArrayList<>(List.of("sh", "-c", shell + "; exec \"$@\"", "sh"));
    command.addAll(builder.command());
    process = builder.command(command).start();
  }

  private ProcessBuilder builder(Path file) {
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "stonespring.Main",
                "assigner")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put("NODE_CONFIG", file.toString());
    return builder;
  }

  private String log() throws IOException {
    return Files.readString(folder.resolve("log"));
  }

  private Socket dial() throws Exception {
    String serves = " serves at 127.0.0.1:";
    awaitLog(serves);
    awaitLog("have not joined");
    String rest = log().substring(log().indexOf(serves) + serves.length());
    Socket socket = new Socket("127.0.0.1", Integer.parseInt(rest.substring(0, rest.indexOf(','))));
    socket.setSoTimeout(WAIT);
    open.add(socket);
    return socket;
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  private static void say(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
  }

  private CallByHand watched(ServerSocket server) throws IOException {
    CallByHand call = new CallByHand(server);
    open.add(call);
    return call;
  }

  /**
   * From the first sign of life over tables, a new configuration, a bad one and a move of discovery
   * to an orderly end.
   */
  @Test
  void aLifeOnThePlatform() throws Exception {
    run(config(discovery.getLocalPort()));
    Socket proxy = dial();
    BufferedReader hears = reader(proxy);
    say(proxy, "PING");
    assertEquals("PONG", hears.readLine());
    CallByHand call = watched(discovery);
    assertEquals("/registry/instances?stream=1&index=4", call.target);
    call.raw(CallByHand.CHUNKS)
        .chunk(list(5, host("s-1", "west"), host("s-2", "east"), host("s-3", "west")) + "\n");
    say(proxy, "SUBSCRIBE id=2 site=west rps=3.0 new=1");
    String table = hears.readLine();
    assertTrue(
        table.matches(
            "CONFIG replace=1 rows=s-[123]:[0-9.]+(,s-[123]:[0-9.]+)* gate=1 again=1 stamp=[0-9]+"),
        table);

    Path file = folder.resolve("config.json");
    ServerSocket moved = server();
    Files.writeString(file, "{\"name\":");
    hangUp();
    awaitLog("the new configuration is not used");
    Files.writeString(file, config(moved.getLocalPort()));
    hangUp();
    CallByHand second = watched(moved);
    assertEquals("/registry/instances?stream=1&index=5", second.target);
    second.raw(CallByHand.CHUNKS).chunk(list(6, host("s-1", "west"), host("s-2", "east")) + "\n");
    assertEquals(
        -1,
        call.socket.getInputStream().read(),
        "the old address is closed once the new one answered");
    String drained = hears.readLine(); // s-3 is gone: its line leaves at once
    assertNotNull(drained);
    say(proxy, "PING");
    String pong = hears.readLine();
    while (pong != null && pong.startsWith("CONFIG")) {
      pong = hears.readLine();
    }
    assertEquals("PONG", pong, "streams stay");

    process.destroy();
    long began = System.nanoTime();
    assertTrue(process.waitFor(WAIT, TimeUnit.MILLISECONDS));
    assertTrue(System.nanoTime() - began < TimeUnit.SECONDS.toNanos(5), "it ends soon");
    StringBuilder rest = new StringBuilder();
    for (int next = hears.read(); next >= 0; next = hears.read()) {
      rest.append((char) next);
    }
    assertTrue(rest.isEmpty() || rest.toString().endsWith("\r\n"), "no half message: " + rest);
  }

  /**
   * Two signals close together, each on a thread of its own: the first one's file is a pipe that
   * the test holds back, and the second one's is newer. What the first reads must not be applied
   * last.
   */
  @Test
  void ofTwoNewConfigurationsTheLaterHolds() throws Exception {
    run(config(discovery.getLocalPort()));
    dial();
    CallByHand call = watched(discovery);
    call.raw(CallByHand.CHUNKS).chunk(list(5, host("s-1", "west")) + "\n");
    ServerSocket older = server();
    ServerSocket newer = server();
    Path file = folder.resolve("config.json");
    Path pipe = folder.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    Files.move(pipe, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    hangUp();
    try (var first = Files.newOutputStream(file)) { // opens once the process reads
      Path next = Files.writeString(folder.resolve("next.json"), config(newer.getLocalPort()));
      Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      hangUp();
      awaitThreads("SIGHUP handler", 2, "discovery moves from");
      first.write(config(older.getLocalPort()).getBytes(StandardCharsets.UTF_8));
    }
    // What was asked first may have been answered or not; the address that is asked in the end is
    // the newer one.
    CallByHand last = watched(newer);
    last.raw(CallByHand.CHUNKS).chunk(list(6, host("s-1", "west")) + "\n");
    awaitLog("/127.0.0.1:" + newer.getLocalPort() + " answers");
    awaitLog(
        "discovery moves from /127.0.0.1:"
            + older.getLocalPort()
            + " to /127.0.0.1:"
            + newer.getLocalPort());
  }

  /** Waits until so many threads of that name stand in the process, or its log holds the text. */
  private void awaitThreads(String name, int count, String text) throws Exception {
    String stack = Path.of(System.getProperty("java.home"), "bin", "jstack").toString();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT);
    int found = 0;
    while (found < count && !log().contains(text)) {
      assertTrue(System.nanoTime() < until && process.isAlive(), log());
      Process look =
          new ProcessBuilder(stack, String.valueOf(process.pid()))
              .redirectErrorStream(true)
              .start();
      found =
          new String(look.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                  .split(name, -1)
                  .length
              - 1;
    }
  }

  /**
   * The signal comes while the file is read for the first time, from a pipe that the test holds
   * back: it waits, and counts.
   */
  @Test
  void aHangUpDuringTheStartWaitsForItsEnd() throws Exception {
    ServerSocket newer = server();
    Path file = folder.resolve("config.json");
    assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
    ProcessBuilder builder = builder(file);
    process = builder.start();
    try (var first = Files.newOutputStream(file)) { // opens once the process reads
      Path next = Files.writeString(folder.resolve("next.json"), config(newer.getLocalPort()));
      Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      hangUp();
      first.write(config(discovery.getLocalPort()).getBytes(StandardCharsets.UTF_8));
    }
    assertEquals("/registry/instances?stream=1&index=4", watched(newer).target);
  }

  /**
   * A crowd takes every descriptor that the process may have, and the watch ends meanwhile: its
   * next dial finds none. Once the crowd is gone the list is watched and proxies are served as
   * before.
   */
  @Test
  void aProcessThatRanOutOfDescriptorsComesBack() throws Exception {
    runAfter("ulimit -n 96", config(discovery.getLocalPort()));
    Socket early = dial();
    say(early, "SUBSCRIBE id=1 site=west rps=3.0 new=1");
    watched(discovery).raw(CallByHand.CHUNKS).chunk(list(5, host("s-1", "west")) + "\n").close();
    for (int i = 0; i < 160; i++) {
      Socket idle = new Socket();
      open.add(idle);
      idle.connect(new java.net.InetSocketAddress("127.0.0.1", early.getPort()), WAIT);
    }
    awaitLog("Too many open files");
    assertEquals(
        "/registry/instances?stream=1&index=5",
        watched(discovery).target,
        "the list is watched again");
    Socket late = dial();
    say(late, "PING");
    assertEquals("PONG", reader(late).readLine());
    say(early, "PING");
    BufferedReader hears = reader(early);
    String pong = hears.readLine();
    while (pong != null && pong.startsWith("CONFIG")) {
      pong = hears.readLine();
    }
    assertEquals("PONG", pong, "who was joined stayed");
  }

  /**
   * The file was replaced and the signal never came, or came too early; the old address then ends
   * the watch and takes nobody.
   */
  @Test
  void aMovedDiscoveryIsFoundWithoutTheSignal() throws Exception {
    run(config(discovery.getLocalPort()));
    dial();
    CallByHand call = watched(discovery);
    call.raw(CallByHand.CHUNKS).chunk(list(5, host("s-1", "west")) + "\n");
    ServerSocket moved = server();
    Files.writeString(folder.resolve("config.json"), config(moved.getLocalPort()));
    discovery.close();
    call.close();
    assertEquals("/registry/instances?stream=1&index=5", watched(moved).target);
  }

  /**
   * Started under nohup a process ignores hang-ups, whatever handler it sets: it says so, and finds
   * a moved discovery all the same.
   */
  @Test
  void aProcessThatIgnoresHangUpsSaysSoAndFindsAMovedDiscovery() throws Exception {
    runAfter("trap '' HUP", config(discovery.getLocalPort()));
    dial();
    awaitLog("hang-ups are ignored");
    CallByHand call = watched(discovery);
    call.raw(CallByHand.CHUNKS).chunk(list(5, host("s-1", "west")) + "\n");
    ServerSocket moved = server();
    Files.writeString(folder.resolve("config.json"), config(moved.getLocalPort()));
    hangUp();
    discovery.close();
    call.close();
    assertEquals("/registry/instances?stream=1&index=5", watched(moved).target);
  }

  /**
   * Whatever the settings say of the simulator's discovery: here a list that nobody watches is told
   * to nobody.
   */
  @Test
  void theListIsWatchedForCustomersWhoseSettingsSayThatItIsPushed() throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(
        file, config(discovery.getLocalPort()).replace("\"on_request\"", "\"pushed\""));
    PlatformDaemon daemon = new PlatformDaemon(PlatformConfig.read(file));
    daemon.start();
    assertEquals("/registry/instances?stream=1&index=4", watched(discovery).target);
    daemon.stop();
  }

  private void hangUp() throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor());
  }

  private void awaitLog(String text) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT);
    while (!log().contains(text)) {
      assertTrue(System.nanoTime() < until && process.isAlive(), log());
      Thread.onSpinWait();
    }
  }

  @Test
  void aBadConfigurationEndsTheStartWithOneLineThatNamesTheField() throws Exception {
    String good = config(1);
    String[][] rows = {
      {"{", "line 1"},
      {"[]", "no JSON object"},
      {good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "field 'listen'"},
      {
        good.replace("\"backlog\":3000", "\"backlog\":\"x\""),
        "field 'settings': field 'backlog' is not a number"
      },
      {good.replace("\"proxyCount\":8", "\"proxyCount\":0"), "field 'proxyCount' has none"},
      {good.replace("\"roundS\":0.001", "\"roundS\":-1"), "field 'roundS' is not"},
      {good.replace("\"reportEveryS\":0.5", "\"reportEveryS\":0"), "field 'reportEveryS'"},
      {good.replace("[\"west\",\"east\"]", "[]"), "field 'zones' has none"},
      {good.replace("\"pushRate\":1500.0", "\"pushRate\":1e300"), "field 'pushRate' is not"},
      {good.replace("\"127.0.0.1:1\"", "\"127.0.0.999:1\""), "field 'discovery'"},
      {good.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"?\""), "field 'seed'"},
      {good.replace("\"sockets\":256", "\"sockets\":0"), "limits.sockets"}
    };
    for (String[] row : rows) {
      Path file = folder.resolve("bad.json");
      Files.writeString(file, row[0]);
      try {
        PlatformConfig.read(file);
        org.junit.jupiter.api.Assertions.fail("taken: " + row[0]);
      } catch (InvalidConfigException e) {
        assertTrue(
            e.getMessage().contains(row[1]) && !e.getMessage().contains("\n"), e.getMessage());
      }
    }
    assertEquals(2, run("{}").waitFor());
    assertTrue(
        log().startsWith("stonespring: ") && log().contains("field 'settings' is missing"), log());
    assertEquals(1, log().lines().count(), log());
    assertFalse(process.isAlive());
  }

  /** Fails as the first proxy joins, and is whole from then on. */
  private static final class Fails implements DecisionEngine {
    private final boolean whole;
    private final List<Command> orders = new ArrayList<>();

    Fails(boolean whole) {
      this.whole = whole;
    }

    @Override
    public void handle(long now, Event event) {
      if (event instanceof Event.ProxyConnected e) {
        if (!whole) {
          if (e.proxy().number() == 3) {
            throw new NoClassDefFoundError("as the test wants it");
          }
          throw new IllegalStateException("as the test wants it");
        }
        assertFalse(e.withoutTables(), "it may hold what was ordered before");
        orders.add(new Command.SetRoute(new RouteTableId(1), new EndpointId("s-1"), 1));
        orders.add(new Command.AssignRouteTable(new RouteTableId(1), e.proxy(), 0));
      }
    }

    @Override
    public List<Command> endBatch(long now) {
      List<Command> ordered = List.copyOf(orders);
      orders.clear();
      return ordered;
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3}) // an exception, an error
  void aFailureInsideTheDecisionsRestartsThemAndNoStreamIsLost(int id) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, config(discovery.getLocalPort()));
    List<Fails> made = new ArrayList<>();
    PlatformDaemon daemon =
        new PlatformDaemon(
            PlatformConfig.read(file),
            (settings, seed, now) -> {
              made.add(new Fails(!made.isEmpty()));
              return made.get(made.size() - 1);
            });
    daemon.start();
    Socket proxy = new Socket("127.0.0.1", daemon.port());
    proxy.setSoTimeout(WAIT);
    open.add(proxy);
    say(proxy, "SUBSCRIBE id=" + id + " site=west rps=3.0 new=1");
    assertEquals("CONFIG replace=1 rows=s-1:1 undrop=s-1", reader(proxy).readLine());
    assertEquals(2, made.size());
    daemon.stop();
  }

  /**
   * A stream breaks and its proxy joins again while the decisions make an order for the old one:
   * the change must not reach the new stream, which never held that table, and what reaches it
   * first is the table whole.
   */
  @Test
  void ordersForABrokenStreamDontGoOutOnTheNewOne() throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, config(discovery.getLocalPort()));
    CountDownLatch began = new CountDownLatch(1);
    CountDownLatch held = new CountDownLatch(1);
    PlatformDaemon daemon =
        new PlatformDaemon(
            PlatformConfig.read(file),
            (settings, seed, now) ->
                new DecisionEngine() {
                  private final List<Command> orders = new ArrayList<>();

                  @Override
                  public void handle(long at, Event event) {
                    if (event instanceof Event.ProxyConnected e) {
                      orders.add(
                          new Command.SetRoute(new RouteTableId(1), new EndpointId("s-1"), 1));
                      orders.add(new Command.AssignRouteTable(new RouteTableId(1), e.proxy(), 0));
                    } else if (event instanceof Event.ProxyRequestRate) {
                      began.countDown();
                      try {
                        held.await();
                      } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                      }
                      orders.add(
                          new Command.SetRoute(new RouteTableId(1), new EndpointId("s-2"), 0.5));
                    }
                  }

                  @Override
                  public List<Command> endBatch(long at) {
                    List<Command> ordered = List.copyOf(orders);
                    orders.clear();
                    return ordered;
                  }
                });
    daemon.start();
    Socket old = new Socket("127.0.0.1", daemon.port());
    old.setSoTimeout(WAIT);
    open.add(old);
    say(old, "SUBSCRIBE id=2 site=west rps=3.0 new=1");
    assertEquals("CONFIG replace=1 rows=s-1:1", reader(old).readLine());
    say(old, "RATE id=2 lane=look count=1 fail=0 over=500");
    began.await();
    old.close();
    Socket newer = new Socket("127.0.0.1", daemon.port());
    newer.setSoTimeout(WAIT);
    open.add(newer);
    say(newer, "SUBSCRIBE id=2 site=west rps=3.0 new=0");
    held.countDown();
    assertEquals("CONFIG replace=1 rows=s-1:1,s-2:0.5 undrop=s-1,s-2", reader(newer).readLine());
    daemon.stop();
  }

  /**
   * The stop comes while a moment runs, and a second proxy's joining waits at the socket: nothing
   * is decided for it.
   */
  @Test
  void nothingIsDecidedOnceTheStopHasBegun() throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, config(discovery.getLocalPort()));
    CountDownLatch began = new CountDownLatch(1);
    CountDownLatch held = new CountDownLatch(1);
    List<Event> joined = java.util.Collections.synchronizedList(new ArrayList<>());
    PlatformDaemon daemon =
        new PlatformDaemon(
            PlatformConfig.read(file),
            (settings, seed, now) ->
                new DecisionEngine() {
                  @Override
                  public void handle(long at, Event event) {
                    if (event instanceof Event.ProxyConnected) {
                      joined.add(event);
                      began.countDown();
                      try {
                        held.await();
                      } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                      }
                    }
                  }

                  @Override
                  public List<Command> endBatch(long at) {
                    return List.of();
                  }
                });
    daemon.start();
    Socket first = new Socket("127.0.0.1", daemon.port());
    Socket second = new Socket("127.0.0.1", daemon.port());
    open.addAll(List.of(first, second));
    second.setSoTimeout(WAIT);
    say(second, "PING");
    assertEquals("PONG", reader(second).readLine());
    say(first, "SUBSCRIBE id=2 site=west rps=3.0 new=1");
    began.await();
    say(second, "SUBSCRIBE id=3 site=west rps=3.0 new=1");
    Thread stops =
        new Thread(
            () -> {
              try {
                daemon.stop();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    stops.start();
    while (stops.getState() != Thread.State.TIMED_WAITING
        && stops.getState() != Thread.State.WAITING) {
      Thread.onSpinWait(); // it waits for the loop, behind what it has put there
    }
    held.countDown();
    stops.join();
    assertEquals(1, joined.size(), joined.toString());
  }

  @Test
  void decisionsThatAlwaysFailEndTheProcessInTheEnd() throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, config(discovery.getLocalPort()));
    PlatformDaemon daemon =
        new PlatformDaemon(PlatformConfig.read(file), (settings, seed, now) -> new Fails(false));
    daemon.start();
    Socket proxy = new Socket("127.0.0.1", daemon.port());
    open.add(proxy);
    say(proxy, "SUBSCRIBE id=2 site=west rps=3.0 new=1");
    assertEquals("as the test wants it", daemon.awaitEnd().getMessage());
    daemon.stop();
  }

  @Test
  void anAddressThatIsTakenEndsTheStartWithOneLine() throws Exception {
    assertEquals(
        1,
        run(config(discovery.getLocalPort())
                .replace(
                    "\"listen\":\"127.0.0.1:0\"",
                    "\"listen\":\"127.0.0.1:" + discovery.getLocalPort() + "\""))
            .waitFor());
    assertTrue(log().contains("stonespring: assigner: ") && !log().contains("\tat "), log());
  }
}
