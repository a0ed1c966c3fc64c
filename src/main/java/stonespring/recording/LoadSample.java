package stonespring.recording;

import stonespring.model.EndpointRecord;

/**
 * A recorded observation of load or of a change of the fleet. Instants are in {@link
 * stonespring.model.DeciMillis} since the start of the recording, durations in {@link
 * stonespring.model.DeciMillis}. Zones and proxies are positions in the lists of the recording's
 * head. Endpoints are names; no component is null.
 */
public sealed interface LoadSample {
  /** Returns the instant of the observation. */
  long at();

  /**
   * The requests that arrived at a proxy during the sample interval that ended at the instant
   * {@code at}.
   *
   * @param requests number of requests by request class, in the order of the settings
   */
  record Arrivals(long at, int proxy, int[] requests) implements LoadSample {}

  /**
   * The entry for an endpoint in the endpoint list changed.
   *
   * @param weight capacity relative to other endpoints, as in {@link EndpointRecord}
   * @param startedAt when the endpoint's process last started, on the clock of the recording; 0 if
   *     it started long ago, as in {@link EndpointRecord}
   */
  record EndpointListed(
      long at, String endpoint, int zone, double weight, EndpointRecord.State state, long startedAt)
      implements LoadSample {}

  /**
   * An endpoint's process started or ended.
   *
   * @param cores number of cores; 0 if the process ended
   * @param speed speed of a core relative to the core for which {@link Recording.RequestClassInfo}
   *     states service times
   * @param warmingUp whether the process reaches its full capacity only after a warm-up
   */
  record ProcessChanged(
      long at, String endpoint, int zone, int cores, double speed, boolean warmingUp)
      implements LoadSample {}

  /**
   * From the instant {@code at} on, the load reports of an endpoint claim a multiple of its actual
   * capacity.
   *
   * @param multiple claimed capacity divided by actual capacity; 1 ends the false claim
   */
  record CapacityClaimed(long at, String endpoint, double multiple) implements LoadSample {}

  /**
   * From the instant {@code at} on, the reports of all proxies arrive later than usual.
   *
   * @param delay additional delay of each report; 0 ends the delay
   */
  record ReportsDelayed(long at, long delay) implements LoadSample {}
}
