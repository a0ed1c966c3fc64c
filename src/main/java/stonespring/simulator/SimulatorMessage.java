package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import stonespring.model.DeciMillis;

/**
 * One message of the simulator: a JSON array of its name and its values, which have fixed
 * positions. The accessors count positions from 0, the first value after the name, and throw a
 * {@link SimulatorProtocolException} that names message and field if the value is missing or
 * invalid.
 */
final class SimulatorMessage {
  /** The greatest number that identifies a proxy, instance, table, list or acknowledgement. */
  private static final int MAX_ID = 65_535;

  private final String name;
  private final JsonNode array;
  private final int firstValue;

  private SimulatorMessage(String name, JsonNode array, int firstValue) {
    this.name = name;
    this.array = array;
    this.firstValue = firstValue;
  }

  /** Returns the message in an array whose first element is the name of the message. */
  static SimulatorMessage of(JsonNode array) {
    if (!array.isArray() || array.isEmpty() || !array.get(0).isTextual()) {
      throw new SimulatorProtocolException(
          "field '"
              + WireNames.Batch.MESSAGES
              + "': expected a message that starts with its name, found "
              + array);
    }
    return new SimulatorMessage(array.get(0).asText(), array, 1);
  }

  /**
   * Returns an entry of an endpoint list. An entry has no name: its first element is already a
   * value. Errors name the message that contains the list.
   */
  static SimulatorMessage ofListEntry(JsonNode array) {
    return new SimulatorMessage(WireNames.Message.ENDPOINT_LIST, array, 0);
  }

  String name() {
    return name;
  }

  JsonNode value(int position, String field) {
    JsonNode value = array.get(firstValue + position);
    if (value == null) {
      throw invalid(field, "expected a value, found none");
    }
    return value;
  }

  /** Returns an integer that is 0 or greater. */
  long nonNegativeInteger(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw invalid(field, "expected an integer of at least 0, found " + value);
    }
    return value.asLong();
  }

  /** Returns an integer from 0 to {@link #MAX_ID}. */
  int id(int position, String field) {
    long value = nonNegativeInteger(position, field);
    if (value > MAX_ID) {
      throw invalid(field, "expected at most " + MAX_ID + ", found " + value);
    }
    return (int) value;
  }

  double number(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isNumber()) {
      throw invalid(field, "expected a number, found " + value);
    }
    return value.asDouble();
  }

  /** Returns a number of seconds, converted to {@link DeciMillis} and rounded down. */
  long secondsAsDeciMillis(int position, String field) {
    return DeciMillis.ofSeconds(number(position, field));
  }

  String text(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isTextual()) {
      throw invalid(field, "expected a string, found " + value);
    }
    return value.asText();
  }

  boolean bool(int position, String field) {
    JsonNode value = value(position, field);
    if (!value.isBoolean()) {
      throw invalid(field, "expected true or false, found " + value);
    }
    return value.asBoolean();
  }

  /** Creates, but does not throw, an exception for an invalid field. */
  SimulatorProtocolException invalid(String field, String problem) {
    return new SimulatorProtocolException(
        "message '" + name + "': field '" + field + "': " + problem);
  }
}
