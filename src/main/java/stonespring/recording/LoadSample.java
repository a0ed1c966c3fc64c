package stonespring.recording;

import stonespring.model.EndpointRecord;

/**
 * Something that happened on a recorded day. Times are in {@link stonespring.model.DeciMillis}
 * since the day's start; zones and proxies are positions in the recording's head.
 */
public sealed interface LoadSample {
  /** When it happened. */
  long at();

  /**
   * Requests that arrived at a proxy within the recording's sample interval before.
   *
   * @param requests by request class
   */
  record Arrivals(long at, int proxy, int[] requests) implements LoadSample {}

  /**
   * An update of the endpoint list.
   *
   * @param startedAt as {@link EndpointRecord} has it, on the recording's clock
   */
  record EndpointListed(
      long at, String endpoint, int zone, double weight, EndpointRecord.State state, long startedAt)
      implements LoadSample {}

  /**
   * An endpoint's process started or died.
   *
   * @param cores 0 if it died
   * @param speed relative to a usual core
   * @param warmingUp whether it has its whole capacity only after a while
   */
  record ProcessChanged(
      long at, String endpoint, int zone, int cores, double speed, boolean warmingUp)
      implements LoadSample {}

  /**
   * From here an endpoint reports a multiple of the capacity that it has.
   *
   * @param multiple 1 for a true report
   */
  record CapacityClaimed(long at, String endpoint, double multiple) implements LoadSample {}

  /** From here proxies' reports arrive so much later than usual. */
  record ReportsDelayed(long at, long delay) implements LoadSample {}
}
