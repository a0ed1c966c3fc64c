package stonespring.discovery;

import java.util.List;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.ZoneId;

/**
 * Conversion of the fields that all forms of an endpoint list share. Immutable.
 *
 * @param zoneNames the names of the configured zones, by index
 * @param unixOffsetDeciMillis Unix time minus the instance's clock, {@link DeciMillis}
 */
record EndpointFields(List<String> zoneNames, long unixOffsetDeciMillis) {
  private static final long DECI_MILLIS_PER_MILLI = DeciMillis.SECOND / 1000;
  private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,100}";
  private static final String ADDRESS_PATTERN = "[A-Za-z0-9.-]{1,60}:[0-9]{1,5}";

  /**
   * Composes an endpoint's id, {@code NAME@HOST:PORT}; refuses what could not be part of a
   * published key.
   */
  static EndpointId createEndpointId(String location, String name, String address)
      throws InvalidEndpointListException {
    if (!name.matches(NAME_PATTERN)) {
      throw new InvalidEndpointListException(
          location, "id", "is not a name of 1 to 100 letters, digits, dots or dashes");
    }
    if (!address.matches(ADDRESS_PATTERN)) {
      throw new InvalidEndpointListException(location, "address", "is not HOST:PORT");
    }
    return new EndpointId(name + "@" + address);
  }

  ZoneId parseZone(String location, String name) throws InvalidEndpointListException {
    int index = zoneNames.indexOf(name);
    if (index < 0) {
      throw new InvalidEndpointListException(
          location, "zone", "names no zone of the settings: " + name);
    }
    return new ZoneId(index);
  }

  /**
   * Converts a start time from Unix milliseconds to the instance's clock.
   *
   * @param unixMillis 0 or less if it is not known
   * @return {@link DeciMillis}, at least 1; 0 (long ago) if it is not known
   */
  long toInstanceClock(long unixMillis) {
    return unixMillis <= 0
        ? 0
        : Math.max(1, unixMillis * DECI_MILLIS_PER_MILLI - unixOffsetDeciMillis);
  }

  /** Converts a start time above 0 from the instance's clock to Unix milliseconds. */
  long toUnixMillis(long startedAt) {
    return (startedAt + unixOffsetDeciMillis) / DECI_MILLIS_PER_MILLI;
  }
}
