package stonespring.testbed.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/** Writes the configuration file of an instance in the platform's form. Not thread-safe. */
final class SoakConfig {
  static final List<String> ZONES = List.of("west", "east");
  static final List<String> REQUEST_CLASSES = List.of("look", "buy");

  /** Descriptors of a process; a crowd has more connections. */
  static final int DESCRIPTORS = 256;

  /** Time limits that the settings state, in milliseconds. */
  static final long DRAIN_GRACE_MILLIS = 3_000;

  static final long EMPTY_LIMIT_MILLIS = 2_000;

  private static final int MEMORY_MB = 128;
  private static final double SECONDS_PER_MILLI = 0.001;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Path file;
  private final int port;
  private final int proxies;

  SoakConfig(Path file, int port, int proxies) {
    this.file = file;
    this.port = port;
    this.proxies = proxies;
  }

  /**
   * Writes a valid configuration, in place of the file that is there.
   *
   * @param version the version of the known list
   */
  void write(int discoveryPort, long version, List<EndpointRoster.Entry> known, String seed)
      throws IOException {
    ObjectNode config = mapper.createObjectNode();
    config.put("name", "n1");
    config.put("listen", "127.0.0.1:" + port);
    config.put("discovery", "127.0.0.1:" + discoveryPort);
    config.put("seed", seed);
    ObjectNode limits = config.putObject("limits");
    limits.put("cores", 1.0).put("memory_mb", MEMORY_MB).put("sockets", DESCRIPTORS);
    config.set("known", mapper.readTree(EndpointRoster.toJson(version, true, known)));
    config.set("settings", settings());
    replaceFile(mapper.writeValueAsString(config));
  }

  /** Writes a file that can't be used. */
  void writeInvalid() throws IOException {
    replaceFile("{\"name\":");
  }

  private void replaceFile(String text) throws IOException {
    Path next = Files.writeString(file.resolveSibling("next.json"), text);
    Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  private ObjectNode settings() {
    ObjectNode settings = mapper.createObjectNode();
    settings.put("balancers", 1).put("discovery", "on_request").put("roundS", 0.001);
    ZONES.forEach(settings.putArray("zones")::add);
    ArrayNode classes = settings.putArray("categories");
    addClass(classes, REQUEST_CLASSES.get(0), "free", 0.4, 1.0);
    addClass(classes, REQUEST_CLASSES.get(1), "single_shot", 0.9, 4.0);
    ObjectNode fleet = settings.putObject("familyInfo");
    fleet.put("levelKind", "share").put("backlog", 3000).put("perMessage", 5);
    fleet.put("pushRate", 1500.0).put("emptyForS", EMPTY_LIMIT_MILLIS * SECONDS_PER_MILLI);
    fleet.put("bootstrap", 3).put("proxyCount", proxies).put("reportEveryS", 0.5);
    ObjectNode rules = settings.putObject("rules");
    rules.put("coldS", 12.0).put("coldShare", 0.3).put("fallMultiple", 2.5);
    rules.put("stopSendingWithinS", DRAIN_GRACE_MILLIS * SECONDS_PER_MILLI);
    settings.putObject("prices").put("crossZone", 0.1);
    return settings;
  }

  private static void addClass(
      ArrayNode classes, String name, String repeat, double goalSeconds, double gain) {
    ObjectNode added = classes.addObject();
    added.put("name", name).put("repeat", repeat).put("goalTimeS", goalSeconds).put("gain", gain);
  }
}
