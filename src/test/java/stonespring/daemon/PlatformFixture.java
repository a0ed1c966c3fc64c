package stonespring.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import stonespring.config.PlatformConfig;

/**
 * Shared setup of tests of an instance on the platform: a configuration file, a discovery server on
 * loopback whose responses the test writes, clients, and the process of the instance.
 */
final class PlatformFixture implements BeforeEachCallback, AfterEachCallback {
  /** Upper bound of each wait, which ends as soon as its event happens. */
  static final int TIMEOUT_MILLIS = 20_000;

  private static final String SETTINGS =
      """
            {"balancers":1,"discovery":"on_request","roundS":0.001,"zones":["west","east"],
             "categories":[{"name":"look","repeat":"free","goalTimeS":0.4,"gain":1.0},
                           {"name":"buy","repeat":"single_shot","goalTimeS":0.9,"gain":4.0}],
             "familyInfo":{"levelKind":"share","backlog":3000,"perMessage":5,"pushRate":1500.0,"emptyForS":6.0,
                           "bootstrap":3,"proxyCount":8,"reportEveryS":0.5},
             "rules":{"coldS":12.0,"coldShare":0.3,"fallMultiple":2.5},"prices":{"crossZone":0.1}}""";

  private final Deque<AutoCloseable> openResources = new ArrayDeque<>();
  private Path folder;
  private ServerSocket discovery;

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    folder = Files.createTempDirectory("platform");
    discovery = listen();
  }

  /** Returns the discovery server whose address is in {@link #config()}. */
  ServerSocket discovery() {
    return discovery;
  }

  /** Returns the path of the configuration file. */
  Path configFile() {
    return folder.resolve("config.json");
  }

  /** Listens on a loopback port whose connections the test accepts. */
  ServerSocket listen() throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    server.setSoTimeout(TIMEOUT_MILLIS);
    return closeLater(server);
  }

  <T extends AutoCloseable> T closeLater(T resource) {
    openResources.add(resource);
    return resource;
  }

  /** Returns a ready endpoint in the JSON form of discovery. */
  static String endpoint(String name, String zone) {
    return "{\"host\":\""
        + name
        + "\",\"site\":\""
        + zone
        + "\",\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}";
  }

  /** Returns a whole endpoint list in the JSON form of discovery. */
  static String endpointList(int version, String... endpoints) {
    return "{\"seq\":"
        + version
        + ",\"whole\":true,\"hosts\":["
        + String.join(",", endpoints)
        + "]}";
  }

  /**
   * Returns a configuration with version 4 of the endpoint list and the address of this fixture's
   * discovery server.
   */
  String config() {
    return config(discovery);
  }

  String config(ServerSocket discoveryServer) {
    return config(discoveryServer.getLocalPort());
  }

  static String config(int discoveryPort) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + discoveryPort
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256},\"known\":"
        + endpointList(4, endpoint("s-1", "west"), endpoint("s-2", "east"))
        + ",\"settings\":"
        + SETTINGS
        + "}";
  }

  /** Returns the path of a file in the folder of this test. */
  Path file(String name) {
    return folder.resolve(name);
  }

  /** Writes the configuration in place. */
  void writeConfig(String text) throws IOException {
    Files.writeString(configFile(), text);
  }

  /**
   * Replaces the configuration file by a new one; a process that has the old one open keeps reading
   * the old one.
   */
  void replaceConfig(String text) throws IOException {
    Path next = Files.writeString(folder.resolve("next.json"), text);
    Files.move(next, configFile(), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Replaces the configuration file by a pipe, whose reader waits until the test writes to it. */
  void replaceConfigWithPipe() throws Exception {
    Path pipe = folder.resolve("pipe");
    int exitCode = new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor();
    if (exitCode != 0) {
      throw new IOException("mkfifo failed with exit code " + exitCode);
    }
    Files.move(pipe, configFile(), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts an instance in a process of its own with the current configuration file. */
  PlatformProcess startProcess() throws IOException {
    return closeLater(PlatformProcess.start(folder, configFile()));
  }

  /**
   * Like {@link #startProcess}, but runs a shell command first whose effect the process inherits.
   */
  PlatformProcess startProcessAfter(String shellCommand) throws IOException {
    return closeLater(PlatformProcess.startAfter(shellCommand, folder, configFile()));
  }

  /** Creates an instance in the process of the test, with engines that the test provides. */
  PlatformDaemon createDaemon(EngineFactory engines) throws Exception {
    writeConfig(config());
    return new PlatformDaemon(PlatformConfig.read(configFile()), engines);
  }

  /** Accepts the next connection to a discovery server and reads its request. */
  EndpointListRequest acceptListRequest(ServerSocket discoveryServer) throws IOException {
    return closeLater(new EndpointListRequest(discoveryServer));
  }

  /** Connects a client to an instance. */
  LineClient connect(int port) throws IOException {
    Socket socket = closeLater(new Socket("127.0.0.1", port));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return new LineClient(socket);
  }

  /** Ends the process, closes all open resources and deletes the files. */
  @Override
  public void afterEach(ExtensionContext context) throws Exception {
    // The process is ended first, so that it does not react when the other resources are closed.
    for (AutoCloseable resource : openResources) {
      if (resource instanceof PlatformProcess) {
        resource.close();
      }
    }
    for (AutoCloseable resource : openResources) {
      resource.close();
    }
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
