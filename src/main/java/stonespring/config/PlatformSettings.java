package stonespring.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;

/**
 * The operators' settings object, which the simulator sends to each instance and the platform's
 * configuration file contains. Immutable; no component is null.
 *
 * @param settings the configuration of the decision engine
 * @param zones the zone names, indexed by zone
 * @param requestClassNames the names of the request classes, indexed by request class
 * @param minBatchIntervalDeciMillis the shortest time between two event batches, in {@link
 *     stonespring.model.DeciMillis}
 */
public record PlatformSettings(
    Settings settings,
    List<String> zones,
    List<String> requestClassNames,
    long minBatchIntervalDeciMillis) {
  /**
   * The largest number of request classes: a command encodes a set of them in the bits of an int.
   */
  private static final int MAX_REQUEST_CLASSES = 31;

  /**
   * The time without a request after which an instance counts as notified of the endpoint list is
   * this many times {@code askEveryS} if its last request has failed.
   */
  private static final int REQUEST_INTERVALS_AFTER_FAILURE = 4;

  /**
   * Reads the settings object.
   *
   * <p>The fields are read in a fixed order, so that an object with several errors always reports
   * the same one.
   *
   * @throws InvalidSettingsException at the first field that is missing or invalid
   */
  public static PlatformSettings read(JsonNode object) {
    JsonFields fields = new JsonFields(object);
    JsonFields fleet = fields.object("familyInfo");
    JsonFields rules = fields.object("rules");
    List<String> zones = fields.texts("zones");
    List<String> classNames = new ArrayList<>();
    List<RequestClass> classes = new ArrayList<>();
    for (JsonFields category : fields.objects("categories")) {
      classNames.add(category.text("name"));
      classes.add(readRequestClass(category));
    }
    requirePositiveFields(fields, fleet, zones, classes);
    Settings settings = readSettings(fields, fleet, rules, zones.size(), classes);
    long minBatchIntervalDeciMillis = fields.durationDeciMillis("roundS", 0);
    return new PlatformSettings(
        settings, List.copyOf(zones), List.copyOf(classNames), minBatchIntervalDeciMillis);
  }

  private static RequestClass readRequestClass(JsonFields category) {
    return new RequestClass(
        retrySafety(category.text("repeat")),
        category.durationDeciMillis("goalTimeS"),
        category.number("gain"));
  }

  private static RetrySafety retrySafety(String word) {
    return switch (word) {
      case "free" -> RetrySafety.IDEMPOTENT;
      case "guarded" -> RetrySafety.IDEMPOTENCY_KEYED;
      case "single_shot" -> RetrySafety.NON_IDEMPOTENT;
      default ->
          throw new InvalidSettingsException(
              "repeat", "must be one of free, guarded, single_shot, got '" + word + "'");
    };
  }

  private static void requirePositiveFields(
      JsonFields fields, JsonFields fleet, List<String> zones, List<RequestClass> classes) {
    requireAtLeastOne("zones", "must have at least 1 item", zones.size());
    requireAtLeastOne("categories", "must have at least 1 item", classes.size());
    if (classes.size() > MAX_REQUEST_CLASSES) {
      throw new InvalidSettingsException(
          "categories",
          "must have at most " + MAX_REQUEST_CLASSES + " items, got " + classes.size());
    }
    requireAtLeastOne("balancers", "must be at least 1", fields.number("balancers"));
    requireAtLeastOne("proxyCount", "must be at least 1", fleet.number("proxyCount"));
    requireAtLeastOne("backlog", "must be at least 1", fleet.number("backlog"));
    requireAtLeastOne("pushRate", "must be at least 1", fleet.number("pushRate"));
    requireAtLeastOne(
        "reportEveryS",
        "must be at least 1 deci-millisecond",
        fleet.durationDeciMillis("reportEveryS"));
  }

  /**
   * Rejects values below 1 for quantities that an instance divides by or waits for. With 0, an
   * instance would make decisions in an endless loop, or never make one.
   *
   * @param requirement what is required of the field, in the words of the error message
   */
  private static void requireAtLeastOne(String field, String requirement, double value) {
    if (value < 1) {
      String found = value == 0 ? "0" : String.valueOf(value);
      throw new InvalidSettingsException(field, requirement + ", got " + found);
    }
  }

  private static Settings readSettings(
      JsonFields fields,
      JsonFields fleet,
      JsonFields rules,
      int zones,
      List<RequestClass> classes) {
    int instances = (int) fields.number("balancers");
    boolean watchRequired = fields.text("discovery").equals("on_request");
    Settings.EndpointListRules endpointList = readEndpointListRules(watchRequired, rules);
    AdmissionLimitKind limitKind = limitKind(fleet.text("levelKind"));
    Settings.ChannelLimits channel = readChannel(fleet);
    long maxTimeWithoutEndpointDeciMillis = fleet.durationDeciMillis("emptyForS");
    int bootstrapRouteCount = (int) fleet.number("bootstrap");
    int proxies = (int) fleet.number("proxyCount");
    long reportIntervalDeciMillis = fleet.durationDeciMillis("reportEveryS");
    boolean sharded = fleet.number("partitionsN", 0) > 0;
    double crossZonePenalty = fields.object("prices").number("crossZone", 0);
    Settings.SlowStart slowStart = readSlowStart(rules);
    double worstClassWeight = fields.optionalObject("scoringMix").number("worstClass", 0);
    int ejectAfterConsecutiveFailures = (int) fleet.number("outlierAfter", 0);
    return new Settings(
        new Settings.Fleet(instances, zones, proxies, sharded),
        List.copyOf(classes),
        endpointList,
        limitKind,
        channel,
        new Settings.RoutingRules(
            maxTimeWithoutEndpointDeciMillis,
            bootstrapRouteCount,
            crossZonePenalty,
            worstClassWeight,
            ejectAfterConsecutiveFailures),
        slowStart,
        reportIntervalDeciMillis);
  }

  private static Settings.EndpointListRules readEndpointListRules(
      boolean watchRequired, JsonFields rules) {
    long maxNotificationDelayDeciMillis =
        REQUEST_INTERVALS_AFTER_FAILURE * rules.durationDeciMillis("askEveryS", 0);
    return new Settings.EndpointListRules(
        watchRequired, rules.isTrue("droppedStayOpen"), maxNotificationDelayDeciMillis);
  }

  private static AdmissionLimitKind limitKind(String word) {
    return switch (word) {
      case "share" -> AdmissionLimitKind.FRACTION;
      case "rate" -> AdmissionLimitKind.RATE;
      default -> AdmissionLimitKind.NONE;
    };
  }

  private static Settings.ChannelLimits readChannel(JsonFields fleet) {
    return new Settings.ChannelLimits(
        (int) fleet.number("backlog"),
        (int) fleet.number("perMessage"),
        (int) fleet.number("reloadsMax", 0),
        fleet.durationDeciMillis("messagesOverS", 10),
        fleet.number("pushRate"),
        false);
  }

  private static Settings.SlowStart readSlowStart(JsonFields rules) {
    return new Settings.SlowStart(
        rules.durationDeciMillis("coldS"), rules.number("coldShare"), rules.number("fallMultiple"));
  }

  /**
   * Returns a copy of these settings with the constraints of the platform applied. Settings made
   * for the simulator may say that the endpoint list is pushed, but on the platform it must be
   * watched: an instance without a watch would keep routing requests to drained endpoints.
   */
  PlatformSettings withPlatformConstraints() {
    return new PlatformSettings(
        settings.withPlatformConstraints(), zones, requestClassNames, minBatchIntervalDeciMillis);
  }
}
