package stonespring.discovery;

import java.util.List;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.ZoneId;

/**
 * Converts and validates the fields that several formats of the endpoint list have in common.
 * Immutable.
 *
 * @param zoneNames the names of the configured zones; a zone's position is its {@link ZoneId}
 * @param unixOffsetDeciMillis Unix time minus the instance's clock, in {@link DeciMillis}
 */
record EndpointFields(List<String> zoneNames, long unixOffsetDeciMillis) {
  private static final long DECI_MILLIS_PER_MILLI = DeciMillis.SECOND / 1000;
  private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,100}";
  private static final String ADDRESS_PATTERN = "[A-Za-z0-9.-]{1,60}:[0-9]{1,5}";

  /**
   * Creates an endpoint id of the form {@code NAME@HOST:PORT}. Names and addresses with characters
   * that can't be part of a published key are rejected.
   *
   * @param location the place in the list that error messages name
   */
  static EndpointId createEndpointId(String location, String name, String address)
      throws InvalidEndpointListException {
    if (!name.matches(NAME_PATTERN)) {
      throw new InvalidEndpointListException(
          location, "id", "must be 1 to 100 letters, digits, dots, underscores or dashes");
    }
    if (!address.matches(ADDRESS_PATTERN)) {
      throw new InvalidEndpointListException(
          location,
          "address",
          "must be HOST:PORT with a host of 1 to 60 letters, digits, dots or dashes");
    }
    return new EndpointId(name + "@" + address);
  }

  /**
   * Looks up a configured zone by its name.
   *
   * @param location the place in the list that error messages name
   */
  ZoneId parseZone(String location, String name) throws InvalidEndpointListException {
    int index = zoneNames.indexOf(name);
    if (index < 0) {
      throw new InvalidEndpointListException(
          location, "zone", "must name a configured zone, found: " + name);
    }
    return new ZoneId(index);
  }

  /**
   * Converts a start time from Unix milliseconds to the instance's clock.
   *
   * @param unixMillis the start time; 0 or less if it is unknown
   * @return the start time in {@link DeciMillis}, at least 1; 0 if it is unknown, which means that
   *     the endpoint started long ago
   */
  long toInstanceClock(long unixMillis) {
    return unixMillis <= 0
        ? 0
        : Math.max(1, unixMillis * DECI_MILLIS_PER_MILLI - unixOffsetDeciMillis);
  }

  /**
   * Converts a start time from the instance's clock to Unix milliseconds.
   *
   * @param startedAt the start time in {@link DeciMillis}, above 0
   */
  long toUnixMillis(long startedAt) {
    return (startedAt + unixOffsetDeciMillis) / DECI_MILLIS_PER_MILLI;
  }
}
