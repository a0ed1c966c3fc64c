package stonespring.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;

/**
 * The settings of one instance, decoded once from a script.
 *
 * @param name what the instance is called in logs
 * @param port the snapshot port; updates go out at the next one, the collector listens at the one
 *     after
 * @param settings what the decisions are told
 * @param opTimeouts the op types' timeouts, tenths of a millisecond
 * @param saved where the last list is kept, or null
 * @param proposals whether the weight solver proposes weights to the decisions
 */
public record InstanceSettings(
    String name,
    String host,
    int port,
    Settings settings,
    List<String> zones,
    List<String> opTypeNames,
    List<Long> opTimeouts,
    Source source,
    Path saved,
    boolean proposals,
    Bounds bounds) {
  /** Where the list of tasks comes from. */
  public sealed interface Source {
    record FromFile(Path path) implements Source {}

    /**
     * @param waitSeconds how long the registry may hold an ask open
     */
    record FromRegistry(String host, int port, String service, int waitSeconds) implements Source {}
  }

  /**
   * @param momentMillis how long events are gathered before the decisions are asked
   */
  public record Bounds(
      int proxies, int connections, int pendingBytes, int inbox, int momentMillis) {}

  /** The script's words, in the order of {@link RetrySafety}. */
  private static final List<String> RETRY_SAFETY_WORDS =
      List.of("retryable", "deduplicated", "once_only");

  private static final List<String> LIMIT_KIND_WORDS = List.of("share", "rate", "none");
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

  /** Runs and validates a script; the exception holds every fault. */
  public static InstanceSettings read(Path file) throws ScriptException {
    Script.Dict globals = Script.run(file);
    List<SettingsError> faults = new ArrayList<>();
    Section top = Section.of(file.toString(), globals, faults);
    InstanceSettings settings = decode(top, file);
    top.has("day"); // a day's script holds its fleet's settings too
    top.done();
    if (!faults.isEmpty()) {
      throw new ScriptException(faults);
    }
    return settings;
  }

  /** The same settings with what a command line says instead; null leaves a value as it is. */
  public InstanceSettings with(Integer otherPort, Integer registryPort, Path savedList) {
    if (otherPort != null && (otherPort < 0 || otherPort > 65533)) {
      throw new IllegalArgumentException("the port is outside 0 to 65533");
    }
    Source from = source;
    if (registryPort != null) {
      if (!(source instanceof Source.FromRegistry r) || registryPort < 1 || registryPort > 65535) {
        throw new IllegalArgumentException(
            "the registry's port is outside 1 to 65535, or tasks come from a file");
      }
      from = new Source.FromRegistry(r.host(), registryPort, r.service(), r.waitSeconds());
    }
    return new InstanceSettings(
        name,
        host,
        otherPort == null ? port : otherPort,
        settings,
        zones,
        opTypeNames,
        opTimeouts,
        from,
        savedList == null ? saved : savedList,
        proposals,
        bounds);
  }

  /** Decodes the instance's part of a script that holds more; faults go to the section's list. */
  public static InstanceSettings decode(Section top, Path file) {
    Section assigner = top.section("assigner", false);
    String name = assigner.text("name", NAME, "assigner");
    String host = assigner.text("host", "[0-9a-zA-Z.:-]{1,100}", "127.0.0.1");
    int port = assigner.whole("port", 0, 65533, 7400);
    String saved = assigner.text("saved_list", ".{1,500}", "");
    assigner.done();
    Section fleet = top.section("fleet", true);
    List<String> zones = fleet.texts("zones", NAME, 1, 64);
    int proxies = fleet.whole("proxies", 1, 65_000, null);
    int assigners = fleet.whole("assigners", 1, 1000, 1);
    int standing = fleet.whole("standing_lines", 0, 1000, 5);
    int shun = fleet.whole("shun_after", 0, 1000, 0);
    fleet.done();
    List<RequestClass> types = new ArrayList<>();
    List<String> typeNames = new ArrayList<>();
    List<Long> timeouts = new ArrayList<>();
    for (Section type : top.sections("op_types", 1, 16)) {
      String typeName = type.text("name", NAME, null);
      if (typeNames.contains(typeName)) {
        type.refuse("name", "is '" + typeName + "' for a second time");
      }
      typeNames.add(typeName);
      double target = type.number("target_latency_ms", 1, 600_000, null);
      double timeout = type.number("op_timeout_ms", 1, 3_600_000, null);
      if (timeout < target) {
        type.refuse("op_timeout_ms", "is below the target latency");
      }
      timeouts.add(Math.round(timeout * DeciMillis.SECOND / 1000));
      types.add(
          new RequestClass(
              retrySafety(type.word("repeat", RETRY_SAFETY_WORDS, null)),
              Math.round(target * DeciMillis.SECOND / 1000),
              type.number("benefit", 0, 1e6, 1.0)));
      type.done();
    }
    Source source = source(top, file);
    Settings settings =
        settings(
            top,
            zones,
            types,
            source instanceof Source.FromRegistry,
            assigners,
            standing,
            proxies,
            shun);
    Section bounds = top.section("bounds", false);
    Bounds limits =
        new Bounds(
            bounds.whole("proxies", 1, 65_000, 20_000),
            bounds.whole("connections", 1, 65_000, 10_000),
            bounds.whole("pending_bytes", 65_536, 1 << 30, 8 << 20),
            bounds.whole("inbox_words", 100, 10_000_000, 100_000),
            bounds.whole("moment_ms", 0, 1000, 5));
    bounds.done();
    return new InstanceSettings(
        name,
        host,
        port,
        settings,
        zones,
        typeNames,
        timeouts,
        source,
        saved.isEmpty() ? null : beside(file, saved),
        top.flag("proposals", false),
        limits);
  }

  private static Path beside(Path file, String path) {
    return file.toAbsolutePath().resolveSibling(path).normalize();
  }

  private static Settings settings(
      Section top,
      List<String> zones,
      List<RequestClass> types,
      boolean asks,
      int assigners,
      int standing,
      int proxies,
      int shun) {
    Section channel = top.section("channel", true);
    int backlog = channel.whole("backlog_lines", 10, 100_000_000, null);
    int head = channel.whole("message_head_lines", 0, 10_000, 10);
    int messages = channel.whole("messages_most", 0, 1_000_000, 0);
    long over = seconds(channel, "messages_over_s", 0.1, 3600, 10.0);
    double pace = channel.number("lines_per_s", 1, 1e9, null);
    channel.done();
    Section rules = top.section("rules", true);
    long empty = seconds(rules, "empty_limit_s", 0.1, 3600, null);
    long cold = seconds(rules, "cold_s", 0, 3600, null);
    double coldShare = rules.number("cold_share", 0.001, 1, null);
    double fall = rules.number("fall_multiple", 1, 1000, null);
    boolean stay = rules.flag("dropped_stay_open", false);
    rules.done();
    Section reports = top.section("reports", false);
    long every = seconds(reports, "every_s", 0.05, 60, 1.0);
    reports.done();
    Section prices = top.section("prices", false);
    double crossZone = prices.number("cross_zone", 0, 1, 0.0);
    double worst = prices.number("worst_op_type", 0, 1, 0.0);
    prices.done();
    String levels = top.word("levels", LIMIT_KIND_WORDS, "share");
    return new Settings(
        new Settings.Fleet(assigners, zones.size(), proxies, false),
        List.copyOf(types),
        new Settings.EndpointListRules(asks, stay),
        limitKind(levels),
        new Settings.ChannelLimits(backlog, head, messages, over, pace, false),
        new Settings.RoutingRules(empty, standing, crossZone, worst, shun),
        new Settings.SlowStart(cold, coldShare, fall),
        every);
  }

  private static RetrySafety retrySafety(String word) {
    return RetrySafety.values()[RETRY_SAFETY_WORDS.indexOf(word)];
  }

  private static AdmissionLimitKind limitKind(String word) {
    return switch (word) {
      case "share" -> AdmissionLimitKind.FRACTION;
      case "rate" -> AdmissionLimitKind.RATE;
      default -> AdmissionLimitKind.NONE;
    };
  }

  private static long seconds(
      Section section, String key, double least, double most, Double standard) {
    return DeciMillis.ofSeconds(section.number(key, least, most, standard));
  }

  private static Source source(Section top, Path file) {
    Section tasks = top.section("tasks", true);
    Source source;
    if (tasks.word("from", List.of("file", "registry"), null).equals("registry")) {
      source =
          new Source.FromRegistry(
              tasks.text("host", "[0-9a-zA-Z.-]{1,100}", "127.0.0.1"),
              tasks.whole("port", 1, 65535, null),
              tasks.text("service", NAME, null),
              tasks.whole("wait_s", 1, 600, 10));
    } else {
      source = new Source.FromFile(beside(file, tasks.text("path", ".{1,500}", null)));
    }
    tasks.done();
    return source;
  }
}
