package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The endpoint lists that the simulator has sent. It sends each list once and refers to it by
 * number in updates to instances. A list stays valid until the simulator sends another one under
 * the same number.
 */
final class EndpointLists {
  /** List numbers run from 0 to one below this value. */
  private static final int MAX_LISTS = 16;

  private final JsonNode[] entriesByNumber = new JsonNode[MAX_LISTS];

  /** Stores the list in a message under its number, in place of an earlier list. */
  void put(SimulatorMessage message) {
    int number = message.id(0, WireNames.Field.LIST_NUMBER);
    if (number >= MAX_LISTS || !message.value(1, WireNames.Field.LIST_ENTRIES).isArray()) {
      throw message.invalid(
          WireNames.Field.LIST_ENTRIES,
          "expected an array, and a list number of at most "
              + (MAX_LISTS - 1)
              + ", found another type or a greater number");
    }
    entriesByNumber[number] = message.value(1, WireNames.Field.LIST_ENTRIES);
  }

  /** Returns the entries of the list to which an update refers. */
  JsonNode get(SimulatorMessage update) {
    int number = update.id(0, WireNames.Field.LIST_NUMBER);
    JsonNode entries = number < MAX_LISTS ? entriesByNumber[number] : null;
    if (entries == null) {
      throw update.invalid(
          WireNames.Field.LIST_NUMBER,
          "expected the number of a list sent earlier, found " + number);
    }
    return entries;
  }
}
