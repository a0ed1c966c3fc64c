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
 * A scripted day: the assigner's settings, what the stand-ins are made of, the ops, and the
 * troubles with their times.
 *
 * @param workMillis an op's work, by op type
 * @param shares each op type's share of the ops
 */
public record Scenario(
    InstanceSettings assigner,
    double seconds,
    double opsPerSecond,
    int tasksPerZone,
    int proxiesPerZone,
    int cores,
    int queue,
    int connections,
    double handshakeMillis,
    Map<String, Double> workMillis,
    Map<String, Double> shares,
    double dedupMillis,
    double graceMillis,
    double fallMillis,
    long listLateMillis,
    List<Trouble> troubles) {
  /**
   * One trouble. {@code part}: the share of tasks, proxies or links that it strikes; {@code size}
   * and {@code each} as its kind takes them; {@code zone}: where, by position, or -1.
   */
  public record Trouble(
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
    List<SettingsError> faults = new ArrayList<>();
    Section top = Section.of(file.toString(), Script.run(file), faults);
    InstanceSettings assigner = InstanceSettings.decode(top, file);
    Section day = top.section("day", true);
    double seconds = day.number("seconds", 1, 3600, null);
    double ops = day.number("ops_per_s", 0.1, 100_000, null);
    int tasks = day.integer("tasks_per_zone", 1, 200, null);
    int proxies = day.integer("proxies_per_zone", 1, 400, null);
    int cores = day.integer("cores", 1, 64, 2);
    int queue = day.integer("queue", 1, 10_000, 200);
    int connections = day.integer("connections", 1, 10_000, 150);
    double handshake = day.number("handshake_ms", 0, 100, 5.0);
    Map<String, Double> work = new TreeMap<>();
    Map<String, Double> shares = new TreeMap<>();
    Section workOf = day.section("work_ms", true);
    Section shareOf = day.section("shares", true);
    for (String type : assigner.requestClasses().names()) {
      work.put(type, workOf.number(type, 0.1, 10_000, null));
      shares.put(type, shareOf.number(type, 0, 1, null));
    }
    workOf.rejectUnknownKeys();
    shareOf.rejectUnknownKeys();
    double dedup = day.number("dedup_window_ms", 0, 60_000, 2000.0);
    double grace = day.number("grace_s", 0.1, 60, null) * 1000;
    double fall = day.number("fall_window_s", 0.1, 60, 2.0) * 1000;
    double late = day.number("list_late_s", 0, 60, 1.0) * 1000;
    List<Trouble> troubles = new ArrayList<>();
    for (Section t : day.sections("troubles", 0, 1000)) {
      troubles.add(trouble(t, seconds, assigner.zones().size()));
    }
    day.rejectUnknownKeys();
    top.rejectUnknownKeys();
    if (!faults.isEmpty()) {
      throw new ScriptException(faults);
    }
    return new Scenario(
        assigner,
        seconds,
        ops,
        tasks,
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
        troubles);
  }

  private static Trouble trouble(Section t, double seconds, int zones) {
    Trouble trouble =
        new Trouble(
            t.choice("kind", KINDS, null),
            t.number("at_s", 0, seconds, null) * 1000,
            t.number("for_s", 0, seconds, 1.0) * 1000,
            t.number("part", 0, 1, 0.2),
            t.number("size", 0, 100_000, 1.0),
            t.number("each_s", 0.01, seconds, 2.0) * 1000,
            t.integer("zone", -1, zones - 1, -1));
    t.rejectUnknownKeys();
    return trouble;
  }
}
