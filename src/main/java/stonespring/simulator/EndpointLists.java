package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The endpoint lists that the simulator sends once and then names by number in the updates to its
 * instances; a list stays until another one takes its number.
 */
final class EndpointLists {
  private static final int MAX_LISTS = 16;

  private final JsonNode[] entriesByNumber = new JsonNode[MAX_LISTS];

  /** Takes a list from the message that carries it. */
  void put(SimulatorMessage message) {
    int number = message.id(0, WireNames.Field.LIST_NUMBER);
    if (number >= MAX_LISTS || !message.value(1, WireNames.Field.LIST_ENTRIES).isArray()) {
      throw message.invalid(
          WireNames.Field.LIST_ENTRIES, "is no list, or its number is above " + (MAX_LISTS - 1));
    }
    entriesByNumber[number] = message.value(1, WireNames.Field.LIST_ENTRIES);
  }

  /** The entries of the list that an update names. */
  JsonNode get(SimulatorMessage update) {
    int number = update.id(0, WireNames.Field.LIST_NUMBER);
    JsonNode entries = number < MAX_LISTS ? entriesByNumber[number] : null;
    if (entries == null) {
      throw update.invalid(
          WireNames.Field.LIST_NUMBER, "names a list that was not sent: " + number);
    }
    return entries;
  }
}
