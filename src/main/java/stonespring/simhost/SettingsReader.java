package stonespring.simhost;

import com.fasterxml.jackson.databind.JsonNode;
import stonespring.config.Facts;
import stonespring.model.OpTypeId;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/** A start message's settings; knows the names of zones and op types in the messages after it. */
final class SettingsReader {
  final Settings settings;
  private final Facts facts;

  SettingsReader(JsonNode node) {
    try {
      facts = Facts.read(node);
    } catch (Facts.BadFacts e) {
      throw new WireException("message 'boot': " + e.getMessage());
    }
    settings = facts.settings();
  }

  ZoneId zone(Message message, int position, String field) {
    int at = facts.zones().indexOf(message.text(position, field));
    if (at < 0) {
      throw message.bad(field, "names no zone of the settings: " + message.text(position, field));
    }
    return new ZoneId(at);
  }

  OpTypeId opType(Message message, int position, String field) {
    int at = facts.opTypes().indexOf(message.text(position, field));
    if (at < 0) {
      throw message.bad(
          field, "names no op type of the settings: " + message.text(position, field));
    }
    return new OpTypeId(at);
  }
}
