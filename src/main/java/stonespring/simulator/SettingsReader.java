package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import stonespring.config.InvalidSettingsException;
import stonespring.config.PlatformSettings;
import stonespring.model.RequestClassId;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/** A start message's settings; knows the names of zones and op types in the messages after it. */
final class SettingsReader {
  final Settings settings;
  private final PlatformSettings facts;

  SettingsReader(JsonNode node) {
    try {
      facts = PlatformSettings.read(node);
    } catch (InvalidSettingsException e) {
      throw new SimulatorProtocolException("message 'boot': " + e.getMessage());
    }
    settings = facts.settings();
  }

  ZoneId zone(SimulatorMessage message, int position, String field) {
    int at = facts.zones().indexOf(message.text(position, field));
    if (at < 0) {
      throw message.bad(field, "names no zone of the settings: " + message.text(position, field));
    }
    return new ZoneId(at);
  }

  RequestClassId opType(SimulatorMessage message, int position, String field) {
    int at = facts.requestClassNames().indexOf(message.text(position, field));
    if (at < 0) {
      throw message.bad(
          field, "names no op type of the settings: " + message.text(position, field));
    }
    return new RequestClassId(at);
  }
}
