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
 * Decodes the sections of a settings script into {@link InstanceSettings}. The keys are those of
 * {@link SettingsKeys}; errors are recorded in the sections.
 */
final class InstanceSettingsDecoder {
  private static final String RETRYABLE = "retryable";
  private static final String DEDUPLICATED = "deduplicated";
  private static final String ONCE_ONLY = "once_only";

  /** The accepted words, in the order in which error messages list them. */
  private static final List<String> RETRY_SAFETY_WORDS =
      List.of(RETRYABLE, DEDUPLICATED, ONCE_ONLY);

  private static final String LIMIT_FRACTION = "share";
  private static final String LIMIT_RATE = "rate";
  private static final String LIMIT_NONE = "none";
  private static final List<String> LIMIT_KIND_WORDS =
      List.of(LIMIT_FRACTION, LIMIT_RATE, LIMIT_NONE);
  private static final String SOURCE_FILE = "file";
  private static final String SOURCE_REGISTRY = "registry";
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final String LISTEN_HOST_PATTERN = "[0-9a-zA-Z.:-]{1,100}";
  private static final String REGISTRY_HOST_PATTERN = "[0-9a-zA-Z.-]{1,100}";
  private static final String PATH_PATTERN = ".{1,500}";
  private static final String DEFAULT_NAME = "assigner";
  private static final String LOCAL_HOST = "127.0.0.1";
  private static final int MAX_PROXIES = 65_000;
  private static final int MAX_DURATION_SECONDS = 3600;

  private final Section globals;
  private final Path file;

  InstanceSettingsDecoder(Section globals, Path file) {
    this.globals = globals;
    this.file = file;
  }

  /** The values of the section {@code assigner}. */
  private record InstanceSection(String name, ListenAddress listen, Optional<Path> cacheFile) {}

  /**
   * The values of the section {@code fleet}.
   *
   * @param instances the number of stonespring instances that share the proxies
   */
  private record FleetSection(
      List<String> zones,
      int proxies,
      int instances,
      int bootstrapRouteCount,
      int ejectAfterConsecutiveFailures) {}

  /**
   * The request classes: the settings of the decision engine, and the names and timeouts, which
   * only other components use.
   */
  private record DecodedRequestClasses(
      List<RequestClass> settings, RequestClasses namesAndTimeouts) {}

  /** The values of the section {@code rules}; durations are in {@link DeciMillis}. */
  private record RulesSection(
      long maxTimeWithoutEndpointDeciMillis,
      Settings.SlowStart slowStart,
      boolean removedEndpointsKeepServing) {}

  /** The values of the section {@code prices}. */
  private record PricesSection(double crossZonePenalty, double worstClassWeight) {}

  InstanceSettings decode() {
    InstanceSection instance = decodeInstance();
    FleetSection fleet = decodeFleet();
    DecodedRequestClasses requestClasses = decodeRequestClasses();
    Source source = decodeSource();
    Settings settings =
        decodeEngineSettings(
            fleet, requestClasses.settings(), source instanceof Source.FromRegistry);
    Limits limits = decodeLimits();
    return new InstanceSettings(
        instance.name(),
        instance.listen(),
        settings,
        fleet.zones(),
        requestClasses.namesAndTimeouts(),
        new EndpointListSettings(source, instance.cacheFile()),
        globals.bool(SettingsKeys.WEIGHT_PROPOSALS, false),
        limits);
  }

  private InstanceSection decodeInstance() {
    Section section = globals.section(SettingsKeys.INSTANCE, false);
    String name = section.text(SettingsKeys.NAME, NAME_PATTERN, DEFAULT_NAME);
    String host = section.text(SettingsKeys.HOST, LISTEN_HOST_PATTERN, LOCAL_HOST);
    int port = section.integer(SettingsKeys.PORT, 0, InstanceSettings.MAX_SNAPSHOT_PORT, 7400);
    String cacheFile = section.text(SettingsKeys.CACHE_FILE, PATH_PATTERN, "");
    section.rejectUnknownKeys();
    return new InstanceSection(
        name,
        new ListenAddress(host, port),
        cacheFile.isEmpty() ? Optional.empty() : Optional.of(resolve(cacheFile)));
  }

  /** Resolves a path given in the script against the script's folder. */
  private Path resolve(String path) {
    return file.toAbsolutePath().resolveSibling(path).normalize();
  }

  private FleetSection decodeFleet() {
    Section section = globals.section(SettingsKeys.FLEET, true);
    FleetSection fleet =
        new FleetSection(
            section.texts(SettingsKeys.ZONES, NAME_PATTERN, 1, 64),
            section.integer(SettingsKeys.PROXIES, 1, MAX_PROXIES, null),
            section.integer(SettingsKeys.INSTANCES, 1, 1000, 1),
            section.integer(SettingsKeys.BOOTSTRAP_ROUTE_COUNT, 0, 1000, 5),
            section.integer(SettingsKeys.EJECT_AFTER_CONSECUTIVE_FAILURES, 0, 1000, 0));
    section.rejectUnknownKeys();
    return fleet;
  }

  private DecodedRequestClasses decodeRequestClasses() {
    List<RequestClass> classes = new ArrayList<>();
    List<String> names = new ArrayList<>();
    List<Long> timeoutsDeciMillis = new ArrayList<>();
    for (Section section : globals.sections(SettingsKeys.REQUEST_CLASSES, 1, 16)) {
      String name = section.text(SettingsKeys.NAME, NAME_PATTERN, null);
      if (names.contains(name)) {
        section.reject(
            SettingsKeys.NAME,
            "must be unique, but '" + name + "' is already the name of an earlier request class");
      }
      names.add(name);
      double objectiveMillis =
          section.number(SettingsKeys.LATENCY_OBJECTIVE_MILLIS, 1, 600_000, null);
      double timeoutMillis =
          section.number(SettingsKeys.REQUEST_TIMEOUT_MILLIS, 1, 3_600_000, null);
      if (timeoutMillis < objectiveMillis) {
        section.reject(
            SettingsKeys.REQUEST_TIMEOUT_MILLIS,
            "must be at least the value of '" + SettingsKeys.LATENCY_OBJECTIVE_MILLIS + "'");
      }
      timeoutsDeciMillis.add(deciMillisOfMillis(timeoutMillis));
      classes.add(
          new RequestClass(
              retrySafety(section.choice(SettingsKeys.RETRY_SAFETY, RETRY_SAFETY_WORDS, null)),
              deciMillisOfMillis(objectiveMillis),
              section.number(SettingsKeys.PRIORITY_WEIGHT, 0, 1e6, 1.0)));
      section.rejectUnknownKeys();
    }
    return new DecodedRequestClasses(classes, new RequestClasses(names, timeoutsDeciMillis));
  }

  private static RetrySafety retrySafety(String word) {
    return switch (word) {
      case RETRYABLE -> RetrySafety.IDEMPOTENT;
      case DEDUPLICATED -> RetrySafety.IDEMPOTENCY_KEYED;
      case ONCE_ONLY -> RetrySafety.NON_IDEMPOTENT;
      default -> throw new IllegalArgumentException("unknown retry safety: " + word);
    };
  }

  private Source decodeSource() {
    Section section = globals.section(SettingsKeys.ENDPOINT_LIST, true);
    Source source;
    if (section
        .choice(SettingsKeys.SOURCE, List.of(SOURCE_FILE, SOURCE_REGISTRY), null)
        .equals(SOURCE_REGISTRY)) {
      source =
          new Source.FromRegistry(
              section.text(SettingsKeys.HOST, REGISTRY_HOST_PATTERN, LOCAL_HOST),
              section.integer(SettingsKeys.PORT, 1, InstanceSettings.MAX_PORT, null),
              section.text(SettingsKeys.SERVICE, NAME_PATTERN, null),
              section.integer(SettingsKeys.REGISTRY_WAIT_SECONDS, 1, 600, 10));
    } else {
      source = new Source.FromFile(resolve(section.text(SettingsKeys.PATH, PATH_PATTERN, null)));
    }
    section.rejectUnknownKeys();
    return source;
  }

  private Settings decodeEngineSettings(
      FleetSection fleet, List<RequestClass> requestClasses, boolean watchRequired) {
    Settings.ChannelLimits channel = decodeChannel();
    RulesSection rules = decodeRules();
    long reportIntervalDeciMillis = decodeReportInterval();
    PricesSection prices = decodePrices();
    return new Settings(
        new Settings.Fleet(fleet.instances(), fleet.zones().size(), fleet.proxies(), false),
        List.copyOf(requestClasses),
        new Settings.EndpointListRules(
            watchRequired,
            rules.removedEndpointsKeepServing(),
            Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY),
        limitKind(
            globals.choice(SettingsKeys.ADMISSION_LIMIT_KIND, LIMIT_KIND_WORDS, LIMIT_FRACTION)),
        channel,
        new Settings.RoutingRules(
            rules.maxTimeWithoutEndpointDeciMillis(),
            fleet.bootstrapRouteCount(),
            prices.crossZonePenalty(),
            prices.worstClassWeight(),
            fleet.ejectAfterConsecutiveFailures()),
        rules.slowStart(),
        reportIntervalDeciMillis);
  }

  private Settings.ChannelLimits decodeChannel() {
    Section section = globals.section(SettingsKeys.CHANNEL, true);
    Settings.ChannelLimits channel =
        new Settings.ChannelLimits(
            section.integer(SettingsKeys.MAX_BACKLOG_ENTRIES, 10, 100_000_000, null),
            section.integer(SettingsKeys.MESSAGE_OVERHEAD_ENTRIES, 0, 10_000, 10),
            section.integer(SettingsKeys.MAX_MESSAGES_PER_PROXY, 0, 1_000_000, 0),
            durationDeciMillis(
                section, SettingsKeys.MESSAGE_WINDOW_SECONDS, 0.1, MAX_DURATION_SECONDS, 10.0),
            section.number(SettingsKeys.ENTRIES_PER_SECOND, 1, 1e9, null),
            false);
    section.rejectUnknownKeys();
    return channel;
  }

  private RulesSection decodeRules() {
    Section section = globals.section(SettingsKeys.RULES, true);
    RulesSection rules =
        new RulesSection(
            durationDeciMillis(
                section,
                SettingsKeys.MAX_SECONDS_WITHOUT_ENDPOINT,
                0.1,
                MAX_DURATION_SECONDS,
                null),
            new Settings.SlowStart(
                durationDeciMillis(
                    section, SettingsKeys.SLOW_START_WINDOW_SECONDS, 0, MAX_DURATION_SECONDS, null),
                section.number(SettingsKeys.SLOW_START_INITIAL_FRACTION, 0.001, 1, null),
                section.number(SettingsKeys.OVERLOAD_MULTIPLE, 1, 1000, null)),
            section.bool(SettingsKeys.REMOVED_ENDPOINTS_KEEP_SERVING, false));
    section.rejectUnknownKeys();
    return rules;
  }

  private long decodeReportInterval() {
    Section section = globals.section(SettingsKeys.REPORTS, false);
    long intervalDeciMillis =
        durationDeciMillis(section, SettingsKeys.REPORT_INTERVAL_SECONDS, 0.05, 60, 1.0);
    section.rejectUnknownKeys();
    return intervalDeciMillis;
  }

  private PricesSection decodePrices() {
    Section section = globals.section(SettingsKeys.PRICES, false);
    PricesSection prices =
        new PricesSection(
            section.number(SettingsKeys.CROSS_ZONE_PENALTY, 0, 1, 0.0),
            section.number(SettingsKeys.WORST_CLASS_WEIGHT, 0, 1, 0.0));
    section.rejectUnknownKeys();
    return prices;
  }

  private static AdmissionLimitKind limitKind(String word) {
    return switch (word) {
      case LIMIT_FRACTION -> AdmissionLimitKind.FRACTION;
      case LIMIT_RATE -> AdmissionLimitKind.RATE;
      default -> AdmissionLimitKind.NONE;
    };
  }

  private Limits decodeLimits() {
    Section section = globals.section(SettingsKeys.LIMITS, false);
    Limits limits =
        new Limits(
            section.integer(SettingsKeys.PROXIES, 1, MAX_PROXIES, 20_000),
            section.integer(SettingsKeys.MAX_CONNECTIONS, 1, 65_000, 10_000),
            section.integer(SettingsKeys.MAX_PENDING_BYTES, 65_536, 1 << 30, 8 << 20),
            section.integer(SettingsKeys.MAX_INBOX_MESSAGES, 100, 10_000_000, 100_000),
            section.integer(SettingsKeys.BATCH_MILLIS, 0, 1000, 5));
    section.rejectUnknownKeys();
    return limits;
  }

  /** Reads a duration in seconds and returns it in {@link DeciMillis}, rounded down. */
  private static long durationDeciMillis(
      Section section, String key, double minimum, double maximum, Double defaultValue) {
    return DeciMillis.ofSeconds(section.number(key, minimum, maximum, defaultValue));
  }

  /** Converts milliseconds to {@link DeciMillis}, rounded to the nearest integer. */
  private static long deciMillisOfMillis(double millis) {
    return Math.round(millis * DeciMillis.SECOND / 1000);
  }
}
