package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.daemon.PlatformFixture.endpoint;
import static stonespring.daemon.PlatformFixture.endpointList;

import java.io.File;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests the life cycle of an instance's process on the platform: start, service, exhausted file
 * descriptors, exit.
 */
final class PlatformProcessTest {
  private static final int FEWER_DESCRIPTORS_THAN_IN_USE = 3;
  private static final int ENOUGH_DESCRIPTORS = 256;

  @RegisterExtension final PlatformFixture platform = new PlatformFixture();

  /**
   * Covers a keep-alive, a route table, reloads of an invalid and a valid configuration, a new
   * address of the discovery server, and an orderly stop.
   */
  @Test
  void servesThroughReloadsUntilOrderlyStop() throws Exception {
    platform.writeConfig(platform.config());
    PlatformProcess process = platform.startProcess();
    LineClient proxy = platform.connect(process.awaitPort());
    proxy.send("PING");
    assertEquals("PONG", proxy.readLine());
    EndpointListRequest watch = platform.acceptListRequest(platform.discovery());
    assertEquals("/registry/instances?stream=1&index=4", watch.target());
    watch.beginWatch(
        endpointList(5, endpoint("s-1", "west"), endpoint("s-2", "east"), endpoint("s-3", "west")));
    proxy.send("SUBSCRIBE id=2 site=west rps=3.0 new=1");
    String table = proxy.readLine();
    assertTrue(
        table.matches(
            "CONFIG replace=1 rows=s-[123]:[0-9.]+(,s-[123]:[0-9.]+)* gate=1 again=1 stamp=[0-9]+"),
        table);

    ServerSocket moved = platform.listen();
    platform.writeConfig("{\"name\":");
    process.sendSighup();
    process.awaitLog("the new configuration is not used");
    platform.writeConfig(platform.config(moved));
    process.sendSighup();
    EndpointListRequest second = platform.acceptListRequest(moved);
    assertEquals("/registry/instances?stream=1&index=5", second.target());
    second.beginWatch(endpointList(6, endpoint("s-1", "west"), endpoint("s-2", "east")));
    assertTrue(
        watch.closedByClient(),
        "the connection to the old address is closed once the new address has answered");
    assertNotNull(proxy.readLine(), "the route to the removed endpoint s-3 is withdrawn at once");
    proxy.send("PING");
    assertEquals("PONG", proxy.readLineAfterUpdates(), "the connection stays open");

    assertTrue(
        process.measureTerminationNanos() < TimeUnit.SECONDS.toNanos(5),
        "the process ends within 5 s");
    String rest = proxy.readRest();
    assertTrue(rest.isEmpty() || rest.endsWith("\r\n"), "truncated message: " + rest);
  }

  /**
   * Clients use up all file descriptors of the process, and the watch ends while none is free. The
   * process cannot reopen the watch before it has closed connections of those clients.
   */
  @Test
  void recoversFromRunningOutOfDescriptors() throws Exception {
    platform.writeConfig(platform.config());
    PlatformProcess process = platform.startProcessAfter("ulimit -n 96");
    LineClient early = platform.connect(process.awaitPort());
    early.send("SUBSCRIBE id=1 site=west rps=3.0 new=1");
    EndpointListRequest watch = platform.acceptListRequest(platform.discovery());
    watch.beginWatch(endpointList(5, endpoint("s-1", "west")));
    watch.close();
    for (int i = 0; i < 160; i++) {
      Socket idle = platform.closeLater(new Socket());
      idle.connect(
          new InetSocketAddress("127.0.0.1", early.port()), PlatformFixture.TIMEOUT_MILLIS);
    }
    process.awaitLog("Too many open files");
    assertEquals(
        "/registry/instances?stream=1&index=5",
        platform.acceptListRequest(platform.discovery()).target(),
        "the endpoint list is watched again");
    LineClient late = platform.connect(process.awaitPort());
    late.send("PING");
    assertEquals("PONG", late.readLine());
    early.send("PING");
    assertEquals("PONG", early.readLineAfterUpdates(), "a connected proxy stays connected");
  }

  /**
   * For 30 s the process can open no file and no socket. Meanwhile it gets a SIGHUP, a change of
   * the endpoint list, an invalid message, and a proxy that connects again. Guards against classes
   * and files that are first needed then.
   */
  @Test
  void servesWithoutFreeDescriptorsAndCatchesUpAfterwards() throws Exception {
    platform.writeConfig(platform.config());
    PlatformProcess process = platform.startProcess();
    LineClient early = platform.connect(process.awaitPort());
    EndpointListRequest watch = platform.acceptListRequest(platform.discovery());
    watch.beginWatch(endpointList(5, endpoint("s-1", "west"), endpoint("s-2", "east")));
    early.send("SUBSCRIBE id=1 site=west rps=3.0 new=1");
    assertNotNull(early.readLine());
    LineClient broken = platform.connect(process.awaitPort());
    broken.send("SUBSCRIBE id=2 site=west rps=3.0 new=1");
    assertNotNull(broken.readLine());

    process.limitDescriptors(FEWER_DESCRIPTORS_THAN_IN_USE);
    long heldUntilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    ServerSocket moved = platform.listen();
    platform.writeConfig(platform.config(moved));
    process.sendSighup();
    broken.send("JUNK a=1");
    broken.readRest();
    LineClient rejoining = platform.connect(early.port()); // waits in the accept queue
    rejoining.send("SUBSCRIBE id=2 site=west rps=3.0 new=0");
    watch.continueWatch(endpointList(6, endpoint("s-1", "west"), endpoint("s-3", "east")));
    readUntilRouteTo(early, "s-3");
    process.awaitLog("Too many open files");
    while (System.nanoTime() < heldUntilNanos) {
      early.send("RATE id=1 lane=look count=3 fail=0 over=1000.0");
      early.send("PING");
      assertEquals("PONG", early.readLineAfterUpdates(), "a connected proxy stays connected");
      watch.continueWatch("");
      Thread.sleep(500);
    }

    process.limitDescriptors(ENOUGH_DESCRIPTORS);
    assertEquals(
        "/registry/instances?stream=1&index=6",
        platform.acceptListRequest(moved).target(),
        "the reload is carried out");
    assertNotNull(rejoining.readLine(), "the waiting proxy is accepted");
    early.send("PING");
    assertEquals("PONG", early.readLineAfterUpdates());
    process.limitDescriptors(FEWER_DESCRIPTORS_THAN_IN_USE);
    assertTrue(
        process.measureTerminationNanos() < TimeUnit.SECONDS.toNanos(5),
        "the process ends within 5 s");
    assertFalse(process.log().contains("ERROR"), process.log());
  }

  /** Reads route tables until one names the endpoint; the client's timeout bounds each read. */
  private static void readUntilRouteTo(LineClient proxy, String endpoint) throws Exception {
    String line = proxy.readLine();
    while (line != null && !line.contains(endpoint + ":")) {
      line = proxy.readLine();
    }
    assertNotNull(line, "a route table names " + endpoint);
  }

  /**
   * Guards against a class that is read from its file, or an archive that is opened, only after the
   * descriptors have run out.
   */
  @Test
  void loadsAllClassesAndOpensAllArchivesBeforeItListens() throws Exception {
    platform.writeConfig(platform.config());
    Path classLog = platform.file("classes.log");
    PlatformProcess process =
        platform.startProcessAfter(
            "export JDK_JAVA_OPTIONS=-Xlog:class+load:file=" + classLog.toString());
    process.awaitPort();
    Set<String> missing = programClasses();
    try (Stream<String> lines = Files.lines(classLog)) {
      lines.map(line -> line.replaceAll("^\\[.*\\] | source: .*$", "")).forEach(missing::remove);
    }
    assertEquals(Set.of(), missing, "classes that are not loaded");
    Set<Path> unopened = archivesOfClassPath();
    unopened.removeAll(process.openFiles());
    assertEquals(Set.of(), unopened, "archives that are not open");
  }

  private static Set<String> programClasses() throws Exception {
    Path folder =
        Path.of(PlatformDaemon.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    try (Stream<Path> files = Files.walk(folder)) {
      return files
          .map(file -> folder.relativize(file).toString())
          .filter(file -> file.endsWith(".class"))
          .map(file -> file.replaceAll("\\.class$", "").replace('/', '.'))
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  private static Set<Path> archivesOfClassPath() {
    return Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(entry -> entry.endsWith(".jar"))
        .map(Path::of)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  @Test
  void exitsWithOneLogLineWhenPortIsInUse() throws Exception {
    String inUse = "\"listen\":\"127.0.0.1:" + platform.discovery().getLocalPort() + "\"";
    platform.writeConfig(platform.config().replace("\"listen\":\"127.0.0.1:0\"", inUse));
    PlatformProcess process = platform.startProcess();
    assertEquals(1, process.awaitExitCode());
    String log = process.log();
    assertTrue(log.contains("stonespring: assigner: ") && !log.contains("\tat "), log);
  }
}
