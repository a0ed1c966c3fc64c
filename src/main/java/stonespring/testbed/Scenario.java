package stonespring.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.config.InstanceSettings;
import stonespring.config.Script;
import stonespring.config.ScriptException;
import stonespring.config.Section;
import stonespring.config.SettingsError;

/**
 * A scripted scenario: the instance's settings, what the stand-ins are made of, the requests, and
 * the faults with their times.
 *
 * @param workMillis a request's work, by request class
 * @param shares each request class's share of the requests
 */
public record Scenario(
    InstanceSettings assigner,
    double seconds,
    double requestsPerSecond,
    int endpointsPerZone,
    int proxiesPerZone,
    int cores,
    int queue,
    int connections,
    double handshakeMillis,
    Map<String, Double> serviceTimeMillis,
    Map<String, Double> shares,
    double deduplicationWindowMillis,
    double graceMillis,
    double overloadWindowMillis,
    long listDelayMillis,
    List<Fault> faults) {
  /**
   * One fault. {@code part}: the share of endpoints, proxies or links that it strikes; {@code size}
   * and {@code each} as its kind takes them; {@code zone}: where, by position, or -1.
   */
  public record Fault(
      String kind,
      double atMillis,
      double forMillis,
      double part,
      double size,
      double eachMillis,
      int zone) {}

  /** Every kind that a script may name. */
  public static final List<String> KINDS =
      List.of(
          "crash",
          "silent",
          "fast_errors",
          "pauses",
          "late_reports",
          "zone_loss",
          "zone_cut",
          "deploy",
          "shrink",
          "growth",
          "surge",
          "proxy_crash",
          "assigner_crash",
          "slow_channel",
          "reconnect",
          "proxy_stall",
          "assigner_stall",
          "false_reports",
          "slow_handshakes",
          "op_type_fails",
          "flapping",
          "impatience",
          "taken_in_waves",
          "wrong_list",
          "registry_dead",
          "cut_in_snapshot",
          "byte_by_byte",
          "half_close",
          "lost_answers");

  public static Scenario read(Path file) throws ScriptException {
    List<SettingsError> settingsErrors = new ArrayList<>();
    Section top = Section.of(file.toString(), Script.run(file), settingsErrors);
    InstanceSettings assigner = InstanceSettings.decode(top, file);
    Section day = top.section("day", true);
    double seconds = day.number("seconds", 1, 3600, null);
    double requests = day.number("ops_per_s", 0.1, 100_000, null);
    int endpoints = day.whole("tasks_per_zone", 1, 200, null);
    int proxies = day.whole("proxies_per_zone", 1, 400, null);
    int cores = day.whole("cores", 1, 64, 2);
    int queue = day.whole("queue", 1, 10_000, 200);
    int connections = day.whole("connections", 1, 10_000, 150);
    double handshake = day.number("handshake_ms", 0, 100, 5.0);
    Map<String, Double> work = new TreeMap<>();
    Map<String, Double> shares = new TreeMap<>();
    Section workOf = day.section("work_ms", true);
    Section shareOf = day.section("shares", true);
    for (String type : assigner.opTypeNames()) {
      work.put(type, workOf.number(type, 0.1, 10_000, null));
      shares.put(type, shareOf.number(type, 0, 1, null));
    }
    workOf.done();
    shareOf.done();
    double dedup = day.number("dedup_window_ms", 0, 60_000, 2000.0);
    double grace = day.number("grace_s", 0.1, 60, null) * 1000;
    double fall = day.number("fall_window_s", 0.1, 60, 2.0) * 1000;
    double late = day.number("list_late_s", 0, 60, 1.0) * 1000;
    List<Fault> faults = new ArrayList<>();
    for (Section t : day.sections("troubles", 0, 1000)) {
      faults.add(trouble(t, seconds, assigner.zones().size()));
    }
    day.done();
    top.done();
    if (!settingsErrors.isEmpty()) {
      throw new ScriptException(settingsErrors);
    }
    return new Scenario(
        assigner,
        seconds,
        requests,
        endpoints,
        proxies,
        cores,
        queue,
        connections,
        handshake,
        work,
        shares,
        dedup,
        grace,
        fall,
        (long) late,
        faults);
  }

  private static Fault trouble(Section t, double seconds, int zones) {
    Fault trouble =
        new Fault(
            t.word("kind", KINDS, null),
            t.number("at_s", 0, seconds, null) * 1000,
            t.number("for_s", 0, seconds, 1.0) * 1000,
            t.number("part", 0, 1, 0.2),
            t.number("size", 0, 100_000, 1.0),
            t.number("each_s", 0.01, seconds, 2.0) * 1000,
            t.whole("zone", -1, zones - 1, -1));
    t.done();
    return trouble;
  }
}
