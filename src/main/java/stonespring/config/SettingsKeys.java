package stonespring.config;

/** The keys of a settings script, described in {@code docs/running.md}. */
final class SettingsKeys {
  // Top-level keys: sections and single values.
  static final String WEIGHT_PROPOSALS = "proposals";
  static final String INSTANCE = "assigner";
  static final String FLEET = "fleet";
  static final String REQUEST_CLASSES = "op_types";
  static final String ENDPOINT_LIST = "tasks";
  static final String ADMISSION_LIMIT_KIND = "levels";
  static final String CHANNEL = "channel";
  static final String RULES = "rules";
  static final String REPORTS = "reports";
  static final String PRICES = "prices";
  static final String LIMITS = "bounds";

  /** The section of a scenario, which a script may contain in addition to the settings. */
  static final String SCENARIO = "day";

  // Keys within sections; the same key may occur in several sections.
  static final String NAME = "name";
  static final String HOST = "host";
  static final String PORT = "port";
  static final String CACHE_FILE = "saved_list";
  static final String ZONES = "zones";
  static final String PROXIES = "proxies";
  static final String INSTANCES = "assigners";
  static final String BOOTSTRAP_ROUTE_COUNT = "standing_lines";
  static final String EJECT_AFTER_CONSECUTIVE_FAILURES = "shun_after";
  static final String LATENCY_OBJECTIVE_MILLIS = "target_latency_ms";
  static final String REQUEST_TIMEOUT_MILLIS = "op_timeout_ms";
  static final String RETRY_SAFETY = "repeat";
  static final String PRIORITY_WEIGHT = "benefit";
  static final String SOURCE = "from";
  static final String SERVICE = "service";
  static final String REGISTRY_WAIT_SECONDS = "wait_s";
  static final String PATH = "path";
  static final String MAX_BACKLOG_ENTRIES = "backlog_lines";
  static final String MESSAGE_OVERHEAD_ENTRIES = "message_head_lines";
  static final String MAX_MESSAGES_PER_PROXY = "messages_most";
  static final String ENTRIES_PER_SECOND = "lines_per_s";
  static final String SLOW_START_INITIAL_FRACTION = "cold_share";
  static final String OVERLOAD_MULTIPLE = "fall_multiple";
  static final String REMOVED_ENDPOINTS_KEEP_SERVING = "dropped_stay_open";
  static final String CROSS_ZONE_PENALTY = "cross_zone";
  static final String WORST_CLASS_WEIGHT = "worst_op_type";
  static final String MAX_CONNECTIONS = "connections";
  static final String MAX_PENDING_BYTES = "pending_bytes";
  static final String MAX_INBOX_MESSAGES = "inbox_words";
  static final String BATCH_MILLIS = "moment_ms";
  static final String MESSAGE_WINDOW_SECONDS = "messages_over_s";
  static final String MAX_SECONDS_WITHOUT_ENDPOINT = "empty_limit_s";
  static final String SLOW_START_WINDOW_SECONDS = "cold_s";
  static final String REPORT_INTERVAL_SECONDS = "every_s";

  private SettingsKeys() {}
}
