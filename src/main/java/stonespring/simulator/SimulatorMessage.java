package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import stonespring.model.DeciMillis;

/** One message's values by position, with plain complaints that name the message and the field. */
final class SimulatorMessage {
  private final String name;
  private final JsonNode values;
  private final int first;

  SimulatorMessage(String name, JsonNode values, int first) {
    this.name = name;
    this.values = values;
    this.first = first;
  }

  JsonNode at(int position, String field) {
    JsonNode value = values.get(first + position);
    if (value == null) {
      throw bad(field, "is missing");
    }
    return value;
  }

  long whole(int position, String field) {
    JsonNode value = at(position, field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw bad(field, "is not a whole number: " + value);
    }
    return value.asLong();
  }

  int small(int position, String field) {
    long value = whole(position, field);
    if (value > 65535) {
      throw bad(field, "is above 65535: " + value);
    }
    return (int) value;
  }

  double number(int position, String field) {
    JsonNode value = at(position, field);
    if (!value.isNumber()) {
      throw bad(field, "is not a number: " + value);
    }
    return value.asDouble();
  }

  long time(int position, String field) {
    return DeciMillis.ofSeconds(number(position, field));
  }

  String text(int position, String field) {
    JsonNode value = at(position, field);
    if (!value.isTextual()) {
      throw bad(field, "is not a text: " + value);
    }
    return value.asText();
  }

  boolean flag(int position, String field) {
    JsonNode value = at(position, field);
    if (!value.isBoolean()) {
      throw bad(field, "is neither true nor false: " + value);
    }
    return value.asBoolean();
  }

  SimulatorProtocolException bad(String field, String what) {
    return new SimulatorProtocolException("message '" + name + "': field '" + field + "' " + what);
  }
}
