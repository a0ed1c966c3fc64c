package stonespring.simhost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.model.OpType;
import stonespring.model.OpTypeId;
import stonespring.model.Settings;
import stonespring.model.Tenths;
import stonespring.model.ZoneId;

/** Reads a start message's settings once; knows the names of zones, op types and report figures after it. */
final class SettingsReader {
    final Settings settings;
    private final Map<String, ZoneId> zones = new TreeMap<>();
    private final Map<String, OpTypeId> opTypes = new TreeMap<>();

    SettingsReader(JsonNode facts) {
        JsonNode fleet = child(facts, "familyInfo");
        JsonNode rules = child(facts, "rules");
        JsonNode opTypeNodes = child(facts, "categories");
        JsonNode zoneNodes = child(facts, "zones");
        for (int i = 0; i < zoneNodes.size(); i++) {
            zones.put(zoneNodes.get(i).asText(), new ZoneId(i));
        }
        List<OpType> types = new ArrayList<>();
        for (JsonNode node : opTypeNodes) {
            opTypes.put(child(node, "name").asText(), new OpTypeId(types.size()));
            types.add(new OpType(repeat(child(node, "repeat").asText()), time(node, "goalTimeS"),
                    number(node, "gain")));
        }
        settings = new Settings((int) number(facts, "balancers"), zones.size(), List.copyOf(types),
                child(facts, "discovery").asText().equals("on_request"),
                levelKind(child(fleet, "levelKind").asText()), (int) number(fleet, "backlog"),
                (int) number(fleet, "perMessage"), (int) number(fleet, "reloadsMax", 0),
                time(fleet, "messagesOverS", 10), number(fleet, "pushRate"), time(fleet, "emptyForS"),
                (int) number(fleet, "bootstrap"), (int) number(fleet, "proxyCount"), time(fleet, "reportEveryS"),
                number(fleet, "partitionsN", 0) > 0, number(child(facts, "prices"), "crossZone", 0),
                time(rules, "coldS"),
                number(rules, "coldShare"), number(rules, "fallMultiple"),
                number(facts.path("scoringMix"), "worstClass", 0), rules.path("droppedStayOpen").asBoolean(false),
                (int) number(fleet, "outlierAfter", 0));
    }

    ZoneId zone(Message message, int position, String field) {
        ZoneId zone = zones.get(message.text(position, field));
        if (zone == null) {
            throw message.bad(field, "names no zone of the settings: " + message.text(position, field));
        }
        return zone;
    }

    OpTypeId opType(Message message, int position, String field) {
        OpTypeId opType = opTypes.get(message.text(position, field));
        if (opType == null) {
            throw message.bad(field, "names no op type of the settings: " + message.text(position, field));
        }
        return opType;
    }

    private static OpType.Repeat repeat(String word) {
        return switch (word) {
            case "free" -> OpType.Repeat.RETRYABLE;
            case "guarded" -> OpType.Repeat.DEDUPLICATED;
            case "single_shot" -> OpType.Repeat.ONCE_ONLY;
            default -> throw new WireException("message 'boot': field 'repeat' has an unknown word: " + word);
        };
    }

    private static Settings.LevelKind levelKind(String word) {
        return switch (word) {
            case "share" -> Settings.LevelKind.SHARE;
            case "rate" -> Settings.LevelKind.RATE;
            default -> Settings.LevelKind.NONE;
        };
    }

    private static JsonNode child(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new WireException("message 'boot': field '" + field + "' is missing");
        }
        return value;
    }

    private static double number(JsonNode node, String field) {
        JsonNode value = child(node, field);
        if (!value.isNumber()) {
            throw new WireException("message 'boot': field '" + field + "' is not a number: " + value);
        }
        return value.asDouble();
    }

    private static double number(JsonNode node, String field, double ifAbsent) {
        return node.hasNonNull(field) ? number(node, field) : ifAbsent;
    }

    private static long time(JsonNode node, String field) {
        return Tenths.ofSeconds(number(node, field));
    }

    private static long time(JsonNode node, String field, double ifAbsent) {
        return Tenths.ofSeconds(number(node, field, ifAbsent));
    }
}
