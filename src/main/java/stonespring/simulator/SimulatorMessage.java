package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import stonespring.model.DeciMillis;

/**
 * One message of the simulator: an array of a name and of values by position. What can't be read is
 * a {@link SimulatorProtocolException} that names message and field.
 */
final class SimulatorMessage {
  /** The greatest number of a proxy, instance, table or acknowledgement. */
  private static final int MAX_ID = 65_535;

  private final String name;
  private final JsonNode array;
  private final int firstValue;

  private SimulatorMessage(String name, JsonNode array, int firstValue) {
    this.name = name;
    this.array = array;
    this.firstValue = firstValue;
  }

  /** A message as it stands on the wire, with its name first. */
  static SimulatorMessage of(JsonNode array) {
    if (!array.isArray() || array.isEmpty() || !array.get(0).isTextual()) {
      throw new SimulatorProtocolException(
          "field '"
              + WireNames.Batch.MESSAGES
              + "' holds a message that does not start with a name: "
              + array);
    }
    return new SimulatorMessage(array.get(0).asText(), array, 1);
  }

  /** An entry of an endpoint list, which has no name of its own. */
  static SimulatorMessage ofListEntry(JsonNode array) {
    return new SimulatorMessage(WireNames.Message.ENDPOINT_LIST, array, 0);
  }

  String name() {
    return name;
  }

  JsonNode value(int position, String field) {
    JsonNode value = array.get(firstValue + position);
    if (value == null) {
      throw invalid(field, "is missing");
    }
    return value;
  }

  /** A whole number that is not negative. */
  long nonNegativeInteger(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw invalid(field, "is not a whole number: " + value);
    }
    return value.asLong();
  }

  /** A whole number from 0 to {@link #MAX_ID}. */
  int id(int position, String field) {
    long value = nonNegativeInteger(position, field);
    if (value > MAX_ID) {
      throw invalid(field, "is above " + MAX_ID + ": " + value);
    }
    return (int) value;
  }

  double number(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isNumber()) {
      throw invalid(field, "is not a number: " + value);
    }
    return value.asDouble();
  }

  /** Seconds as {@link DeciMillis}, rounded down. */
  long secondsAsDeciMillis(int position, String field) {
    return DeciMillis.ofSeconds(number(position, field));
  }

  String text(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isTextual()) {
      throw invalid(field, "is not a text: " + value);
    }
    return value.asText();
  }

  boolean bool(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isBoolean()) {
      throw invalid(field, "is neither true nor false: " + value);
    }
    return value.asBoolean();
  }

  SimulatorProtocolException invalid(String field, String problem) {
    return new SimulatorProtocolException(
        "message '" + name + "': field '" + field + "' " + problem);
  }
}
