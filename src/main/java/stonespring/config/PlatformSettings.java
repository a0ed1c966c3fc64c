package stonespring.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;

/**
 * The settings object as the operators hand it out, read once: on the simulator's wire with an
 * instance's start, on the platform inside its configuration. Faults name the field.
 *
 * @param settings what the decisions are told
 * @param zones the zones' names, by position
 * @param opTypes the op types' names, by position
 * @param round the shortest gap between two replies of the decisions, tenths of a millisecond
 */
public record PlatformSettings(
    Settings settings, List<String> zones, List<String> opTypes, long round) {
  private static final int OP_TYPES_MOST =
      31; // an order names its op types by the bits of a number
  private static final double NUMBER_MOST =
      1e9; // in any unit of theirs; above lies a fault of whoever wrote it

  /** Settings that can't be used; the text names the field. */
  public static final class BadFacts extends RuntimeException {
    private static final long serialVersionUID = 1;

    BadFacts(String field, String what) {
      super("field '" + field + "' " + what, null, false, false);
    }
  }

  public static PlatformSettings read(JsonNode facts) {
    JsonNode fleet = child(facts, "familyInfo");
    JsonNode rules = child(facts, "rules");
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : list(facts, "zones")) {
      zones.add(text(zone, "zones"));
    }
    List<RequestClass> types = new ArrayList<>();
    List<String> names = new ArrayList<>();
    for (JsonNode node : list(facts, "categories")) {
      names.add(text(child(node, "name"), "name"));
      types.add(
          new RequestClass(
              repeat(text(child(node, "repeat"), "repeat")),
              time(node, "goalTimeS"),
              number(node, "gain")));
    }
    atLeastOne("zones", zones.size());
    atLeastOne("categories", types.size());
    if (types.size() > OP_TYPES_MOST) {
      throw new BadFacts("categories", "has over " + OP_TYPES_MOST + " op types");
    }
    atLeastOne("balancers", number(facts, "balancers"));
    atLeastOne("proxyCount", number(fleet, "proxyCount"));
    atLeastOne("backlog", number(fleet, "backlog"));
    atLeastOne("pushRate", number(fleet, "pushRate"));
    atLeastOne("reportEveryS", time(fleet, "reportEveryS"));
    // Fields are read in this order, so that of several faults the same one is told.
    int instances = (int) number(facts, "balancers");
    boolean watchRequired = text(child(facts, "discovery"), "discovery").equals("on_request");
    AdmissionLimitKind limitKind = levelKind(text(child(fleet, "levelKind"), "levelKind"));
    Settings.ChannelLimits channel =
        new Settings.ChannelLimits(
            (int) number(fleet, "backlog"),
            (int) number(fleet, "perMessage"),
            (int) number(fleet, "reloadsMax", 0),
            time(fleet, "messagesOverS", 10),
            number(fleet, "pushRate"),
            false);
    long maxTimeWithoutEndpoint = time(fleet, "emptyForS");
    int bootstrapRouteCount = (int) number(fleet, "bootstrap");
    int proxies = (int) number(fleet, "proxyCount");
    long reportInterval = time(fleet, "reportEveryS");
    boolean sharded = number(fleet, "partitionsN", 0) > 0;
    double crossZonePenalty = number(child(facts, "prices"), "crossZone", 0);
    Settings.SlowStart slowStart =
        new Settings.SlowStart(
            time(rules, "coldS"), number(rules, "coldShare"), number(rules, "fallMultiple"));
    double worstClassWeight = number(facts.path("scoringMix"), "worstClass", 0);
    boolean removedKeepServing = rules.path("droppedStayOpen").asBoolean(false);
    int ejectAfter = (int) number(fleet, "outlierAfter", 0);
    Settings settings =
        new Settings(
            new Settings.Fleet(instances, zones.size(), proxies, sharded),
            List.copyOf(types),
            new Settings.EndpointListRules(watchRequired, removedKeepServing),
            limitKind,
            channel,
            new Settings.RoutingRules(
                maxTimeWithoutEndpoint,
                bootstrapRouteCount,
                crossZonePenalty,
                worstClassWeight,
                ejectAfter),
            slowStart,
            reportInterval);
    return new PlatformSettings(
        settings, List.copyOf(zones), List.copyOf(names), time(facts, "roundS", 0));
  }

  /** The same on the platform's sockets. */
  PlatformSettings onPlatform() {
    return new PlatformSettings(settings.onPlatform(), zones, opTypes, round);
  }

  /**
   * What is divided by or waited for: at nothing an assigner would decide without end, or never.
   */
  private static void atLeastOne(String field, double value) {
    if (value < 1) {
      throw new BadFacts(field, "has none, or too few");
    }
  }

  private static RetrySafety repeat(String word) {
    return switch (word) {
      case "free" -> RetrySafety.IDEMPOTENT;
      case "guarded" -> RetrySafety.IDEMPOTENCY_KEYED;
      case "single_shot" -> RetrySafety.NON_IDEMPOTENT;
      default -> throw new BadFacts("repeat", "has an unknown word: " + word);
    };
  }

  private static AdmissionLimitKind levelKind(String word) {
    return switch (word) {
      case "share" -> AdmissionLimitKind.FRACTION;
      case "rate" -> AdmissionLimitKind.RATE;
      default -> AdmissionLimitKind.NONE;
    };
  }

  private static JsonNode child(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw new BadFacts(field, "is missing");
    }
    return value;
  }

  private static JsonNode list(JsonNode node, String field) {
    JsonNode value = child(node, field);
    if (!value.isArray()) {
      throw new BadFacts(field, "is no list");
    }
    return value;
  }

  private static String text(JsonNode value, String field) {
    if (!value.isTextual()) {
      throw new BadFacts(field, "is no text: " + value);
    }
    return value.asText();
  }

  private static double number(JsonNode node, String field) {
    JsonNode value = child(node, field);
    if (!value.isNumber()) {
      throw new BadFacts(field, "is not a number: " + value);
    }
    if (!(value.asDouble() >= 0 && value.asDouble() <= NUMBER_MOST)) {
      throw new BadFacts(field, "is not a number from 0 to " + NUMBER_MOST + ": " + value);
    }
    return value.asDouble();
  }

  private static double number(JsonNode node, String field, double ifAbsent) {
    return node.hasNonNull(field) ? number(node, field) : ifAbsent;
  }

  private static long time(JsonNode node, String field) {
    return DeciMillis.ofSeconds(number(node, field));
  }

  private static long time(JsonNode node, String field, double ifAbsent) {
    return DeciMillis.ofSeconds(number(node, field, ifAbsent));
  }
}
