package stonespring.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import stonespring.config.InstanceSettings.EndpointListSettings;
import stonespring.config.InstanceSettings.Limits;
import stonespring.config.InstanceSettings.ListenAddress;
import stonespring.config.InstanceSettings.RequestClasses;
import stonespring.config.InstanceSettings.Source;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;

/**
 * Decodes the sections of a settings script. The keys are those of {@code docs/running.md}; errors
 * are recorded by the sections.
 */
final class InstanceSettingsDecoder {
  /** The words of {@code repeat}, in the order of {@link RetrySafety}. */
  private static final List<String> RETRY_SAFETY_WORDS =
      List.of("retryable", "deduplicated", "once_only");

  private static final List<String> LIMIT_KIND_WORDS = List.of("share", "rate", "none");
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final String LISTEN_HOST_PATTERN = "[0-9a-zA-Z.:-]{1,100}";
  private static final String REGISTRY_HOST_PATTERN = "[0-9a-zA-Z.-]{1,100}";
  private static final String PATH_PATTERN = ".{1,500}";
  private static final String LOCAL_HOST = "127.0.0.1";
  private static final int MAX_PROXIES = 65_000;
  private static final int MAX_DURATION_SECONDS = 3600;

  private final Section globals;
  private final Path file;

  InstanceSettingsDecoder(Section globals, Path file) {
    this.globals = globals;
    this.file = file;
  }

  /** What the section {@code assigner} holds. */
  private record Instance(String name, ListenAddress listen, Optional<Path> cacheFile) {}

  /**
   * What the section {@code fleet} holds.
   *
   * @param instances stonespring instances that share the proxies
   */
  private record Fleet(
      List<String> zones,
      int proxies,
      int instances,
      int bootstrapRouteCount,
      int ejectAfterConsecutiveFailures) {}

  /** The request classes as the decisions take them, and what else is known of them. */
  private record DecodedRequestClasses(
      List<RequestClass> settings, RequestClasses namesAndTimeouts) {}

  /** What the section {@code rules} holds; durations in {@link DeciMillis}. */
  private record Rules(
      long maxTimeWithoutEndpoint,
      Settings.SlowStart slowStart,
      boolean removedEndpointsKeepServing) {}

  /** What the section {@code prices} holds. */
  private record Prices(double crossZonePenalty, double worstClassWeight) {}

  InstanceSettings decode() {
    Instance instance = decodeInstance();
    Fleet fleet = decodeFleet();
    DecodedRequestClasses requestClasses = decodeRequestClasses();
    Source source = decodeSource();
    Settings settings =
        decodeSettings(fleet, requestClasses.settings(), source instanceof Source.FromRegistry);
    Limits limits = decodeLimits();
    return new InstanceSettings(
        instance.name(),
        instance.listen(),
        settings,
        fleet.zones(),
        requestClasses.namesAndTimeouts(),
        new EndpointListSettings(source, instance.cacheFile()),
        globals.bool("proposals", false),
        limits);
  }

  private Instance decodeInstance() {
    Section section = globals.section("assigner", false);
    String name = section.text("name", NAME_PATTERN, "assigner");
    String host = section.text("host", LISTEN_HOST_PATTERN, LOCAL_HOST);
    int port = section.integer("port", 0, InstanceSettings.MAX_SNAPSHOT_PORT, 7400);
    String cacheFile = section.text("saved_list", PATH_PATTERN, "");
    section.rejectUnknownKeys();
    return new Instance(
        name,
        new ListenAddress(host, port),
        cacheFile.isEmpty() ? Optional.empty() : Optional.of(resolve(cacheFile)));
  }

  /** A path of the script; a relative one starts in the script's folder. */
  private Path resolve(String path) {
    return file.toAbsolutePath().resolveSibling(path).normalize();
  }

  private Fleet decodeFleet() {
    Section section = globals.section("fleet", true);
    Fleet fleet =
        new Fleet(
            section.texts("zones", NAME_PATTERN, 1, 64),
            section.integer("proxies", 1, MAX_PROXIES, null),
            section.integer("assigners", 1, 1000, 1),
            section.integer("standing_lines", 0, 1000, 5),
            section.integer("shun_after", 0, 1000, 0));
    section.rejectUnknownKeys();
    return fleet;
  }

  private DecodedRequestClasses decodeRequestClasses() {
    List<RequestClass> classes = new ArrayList<>();
    List<String> names = new ArrayList<>();
    List<Long> timeouts = new ArrayList<>();
    for (Section section : globals.sections("op_types", 1, 16)) {
      String name = section.text("name", NAME_PATTERN, null);
      if (names.contains(name)) {
        section.reject("name", "is '" + name + "' for a second time");
      }
      names.add(name);
      double objectiveMillis = section.number("target_latency_ms", 1, 600_000, null);
      double timeoutMillis = section.number("op_timeout_ms", 1, 3_600_000, null);
      if (timeoutMillis < objectiveMillis) {
        section.reject("op_timeout_ms", "is below the target latency");
      }
      timeouts.add(fromMillis(timeoutMillis));
      classes.add(
          new RequestClass(
              retrySafety(section.choice("repeat", RETRY_SAFETY_WORDS, null)),
              fromMillis(objectiveMillis),
              section.number("benefit", 0, 1e6, 1.0)));
      section.rejectUnknownKeys();
    }
    return new DecodedRequestClasses(classes, new RequestClasses(names, timeouts));
  }

  private static RetrySafety retrySafety(String word) {
    return RetrySafety.values()[RETRY_SAFETY_WORDS.indexOf(word)];
  }

  private Source decodeSource() {
    Section section = globals.section("tasks", true);
    Source source;
    if (section.choice("from", List.of("file", "registry"), null).equals("registry")) {
      source =
          new Source.FromRegistry(
              section.text("host", REGISTRY_HOST_PATTERN, LOCAL_HOST),
              section.integer("port", 1, InstanceSettings.MAX_PORT, null),
              section.text("service", NAME_PATTERN, null),
              section.integer("wait_s", 1, 600, 10));
    } else {
      source = new Source.FromFile(resolve(section.text("path", PATH_PATTERN, null)));
    }
    section.rejectUnknownKeys();
    return source;
  }

  private Settings decodeSettings(
      Fleet fleet, List<RequestClass> requestClasses, boolean watchRequired) {
    Settings.ChannelLimits channel = decodeChannel();
    Rules rules = decodeRules();
    long reportInterval = decodeReportInterval();
    Prices prices = decodePrices();
    return new Settings(
        new Settings.Fleet(fleet.instances(), fleet.zones().size(), fleet.proxies(), false),
        List.copyOf(requestClasses),
        new Settings.EndpointListRules(watchRequired, rules.removedEndpointsKeepServing()),
        limitKind(globals.choice("levels", LIMIT_KIND_WORDS, "share")),
        channel,
        new Settings.RoutingRules(
            rules.maxTimeWithoutEndpoint(),
            fleet.bootstrapRouteCount(),
            prices.crossZonePenalty(),
            prices.worstClassWeight(),
            fleet.ejectAfterConsecutiveFailures()),
        rules.slowStart(),
        reportInterval);
  }

  private Settings.ChannelLimits decodeChannel() {
    Section section = globals.section("channel", true);
    Settings.ChannelLimits channel =
        new Settings.ChannelLimits(
            section.integer("backlog_lines", 10, 100_000_000, null),
            section.integer("message_head_lines", 0, 10_000, 10),
            section.integer("messages_most", 0, 1_000_000, 0),
            duration(section, "messages_over_s", 0.1, MAX_DURATION_SECONDS, 10.0),
            section.number("lines_per_s", 1, 1e9, null),
            false);
    section.rejectUnknownKeys();
    return channel;
  }

  private Rules decodeRules() {
    Section section = globals.section("rules", true);
    Rules rules =
        new Rules(
            duration(section, "empty_limit_s", 0.1, MAX_DURATION_SECONDS, null),
            new Settings.SlowStart(
                duration(section, "cold_s", 0, MAX_DURATION_SECONDS, null),
                section.number("cold_share", 0.001, 1, null),
                section.number("fall_multiple", 1, 1000, null)),
            section.bool("dropped_stay_open", false));
    section.rejectUnknownKeys();
    return rules;
  }

  private long decodeReportInterval() {
    Section section = globals.section("reports", false);
    long interval = duration(section, "every_s", 0.05, 60, 1.0);
    section.rejectUnknownKeys();
    return interval;
  }

  private Prices decodePrices() {
    Section section = globals.section("prices", false);
    Prices prices =
        new Prices(
            section.number("cross_zone", 0, 1, 0.0), section.number("worst_op_type", 0, 1, 0.0));
    section.rejectUnknownKeys();
    return prices;
  }

  private static AdmissionLimitKind limitKind(String word) {
    return switch (word) {
      case "share" -> AdmissionLimitKind.FRACTION;
      case "rate" -> AdmissionLimitKind.RATE;
      default -> AdmissionLimitKind.NONE;
    };
  }

  private Limits decodeLimits() {
    Section section = globals.section("bounds", false);
    Limits limits =
        new Limits(
            section.integer("proxies", 1, MAX_PROXIES, 20_000),
            section.integer("connections", 1, 65_000, 10_000),
            section.integer("pending_bytes", 65_536, 1 << 30, 8 << 20),
            section.integer("inbox_words", 100, 10_000_000, 100_000),
            section.integer("moment_ms", 0, 1000, 5));
    section.rejectUnknownKeys();
    return limits;
  }

  /** Reads seconds as {@link DeciMillis}, rounded down. */
  private static long duration(
      Section section, String key, double minimum, double maximum, Double defaultValue) {
    return DeciMillis.ofSeconds(section.number(key, minimum, maximum, defaultValue));
  }

  /** Converts milliseconds to {@link DeciMillis}, rounded to the nearest. */
  private static long fromMillis(double millis) {
    return Math.round(millis * DeciMillis.SECOND / 1000);
  }
}
