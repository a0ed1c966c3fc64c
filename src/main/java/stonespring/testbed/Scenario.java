package stonespring.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.config.InstanceSettings;
import stonespring.config.Section;
import stonespring.config.script.Script;
import stonespring.config.script.ScriptException;
import stonespring.config.script.SettingsError;

/**
 * A scenario as defined by its script. The script uses the operators' vocabulary, for example
 * {@code tasks} for endpoints and {@code ops} for requests; this class maps its keys.
 *
 * @param instance the settings of the instances
 * @param durationSeconds how long clients send requests
 * @param drainGraceMillis how long proxies may still send requests to an endpoint after the
 *     registry lists it as draining
 * @param listDelayMillis the delay before the registry shows a change
 * @param faults in the order of the script
 */
public record Scenario(
    InstanceSettings instance,
    double durationSeconds,
    Load load,
    FleetSize fleet,
    EndpointModel endpointModel,
    double drainGraceMillis,
    long listDelayMillis,
    List<Fault> faults) {
  /**
   * The requests of all clients.
   *
   * @param shares fraction of the requests by request class name
   */
  public record Load(double requestsPerSecond, Map<String, Double> shares) {}

  /** The number of endpoints and proxies at the start. */
  public record FleetSize(int endpointsPerZone, int proxiesPerZone) {}

  /**
   * The properties that all endpoints share.
   *
   * @param queueLimit maximum number of requests waiting for a core
   * @param connectionLimit maximum number of open connections
   * @param handshakeMillis core time spent on opening a connection
   * @param serviceTimeMillis mean service time by request class name
   * @param deduplicationWindowMillis how long a repeated idempotency key is recognized
   * @param overloadWindowMillis the window over which work received during warm-up is summed
   */
  public record EndpointModel(
      int cores,
      int queueLimit,
      int connectionLimit,
      double handshakeMillis,
      Map<String, Double> serviceTimeMillis,
      double deduplicationWindowMillis,
      double overloadWindowMillis) {}

  /**
   * A fault that is injected during the scenario. Its component names are written to the log.
   *
   * @param atMillis when it begins, since the start of the clients
   * @param fraction the fraction of endpoints, proxies or instances that it affects, 0 to 1
   * @param magnitude its strength in a unit that depends on the kind
   * @param intervalMillis the time between repetitions; ignored by kinds that do not repeat
   * @param zone index of the affected zone, or -1 for all zones
   */
  public record Fault(
      FaultKind kind,
      double atMillis,
      double durationMillis,
      double fraction,
      double magnitude,
      double intervalMillis,
      int zone) {}

  private static final double MILLIS_PER_SECOND = 1000;

  /**
   * Reads the script of a scenario.
   *
   * @throws ScriptException listing all errors of the script
   */
  public static Scenario read(Path file) throws ScriptException {
    List<SettingsError> errors = new ArrayList<>();
    Section top = Section.of(file.toString(), Script.run(file), errors);
    InstanceSettings instance = InstanceSettings.decode(top, file);
    Scenario scenario = decode(top.section("day", true), instance);
    top.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new ScriptException(errors);
    }
    return scenario;
  }

  /** Decodes the keys in a fixed order, which is also the order in which errors are reported. */
  private static Scenario decode(Section day, InstanceSettings instance) {
    double duration = day.number("seconds", 1, 3600, null);
    double requests = day.number("ops_per_s", 0.1, 100_000, null);
    int endpoints = day.integer("tasks_per_zone", 1, 200, null);
    int proxies = day.integer("proxies_per_zone", 1, 400, null);
    int cores = day.integer("cores", 1, 64, 2);
    int queue = day.integer("queue", 1, 10_000, 200);
    int connections = day.integer("connections", 1, 10_000, 150);
    double handshake = day.number("handshake_ms", 0, 100, 5.0);
    Map<String, Double> serviceTimes = new TreeMap<>();
    Map<String, Double> shares = new TreeMap<>();
    Section serviceTimeSection = day.section("work_ms", true);
    Section shareSection = day.section("shares", true);
    for (String name : instance.requestClasses().names()) {
      serviceTimes.put(name, serviceTimeSection.number(name, 0.1, 10_000, null));
      shares.put(name, shareSection.number(name, 0, 1, null));
    }
    serviceTimeSection.rejectUnknownKeys();
    shareSection.rejectUnknownKeys();
    double deduplicationWindow = day.number("dedup_window_ms", 0, 60_000, 2000.0);
    double grace = day.number("grace_s", 0.1, 60, null) * MILLIS_PER_SECOND;
    double overloadWindow = day.number("fall_window_s", 0.1, 60, 2.0) * MILLIS_PER_SECOND;
    double listDelay = day.number("list_late_s", 0, 60, 1.0) * MILLIS_PER_SECOND;
    List<Fault> faults = new ArrayList<>();
    for (Section section : day.sections("troubles", 0, 1000)) {
      faults.add(decodeFault(section, duration, instance.zones().size()));
    }
    day.rejectUnknownKeys();
    return new Scenario(
        instance,
        duration,
        new Load(requests, shares),
        new FleetSize(endpoints, proxies),
        new EndpointModel(
            cores,
            queue,
            connections,
            handshake,
            serviceTimes,
            deduplicationWindow,
            overloadWindow),
        grace,
        (long) listDelay,
        faults);
  }

  private static Fault decodeFault(Section section, double duration, int zones) {
    Fault fault =
        new Fault(
            FaultKind.of(section.choice("kind", FaultKind.scriptNames(), null)),
            section.number("at_s", 0, duration, null) * MILLIS_PER_SECOND,
            section.number("for_s", 0, duration, 1.0) * MILLIS_PER_SECOND,
            section.number("part", 0, 1, 0.2),
            section.number("size", 0, 100_000, 1.0),
            section.number("each_s", 0.01, duration, 2.0) * MILLIS_PER_SECOND,
            section.integer("zone", -1, zones - 1, -1));
    section.rejectUnknownKeys();
    return fault;
  }
}
