package stonespring.recording;

import java.util.List;
import stonespring.model.Settings;

/**
 * The recorded load of a fleet over some time. It contains no commands of instances, so that the
 * same load can be replayed with other route tables and limits.
 *
 * @param samples the observations, in ascending order of their instants
 */
public record Recording(Head head, List<LoadSample> samples) {
  /** The only version of the file format that is written and read. */
  public static final int VERSION = 1;

  /**
   * The properties that hold for the whole recording. Durations are in {@link
   * stonespring.model.DeciMillis}.
   *
   * @param version version of the file format
   * @param name name of the recorded load in reports
   * @param settings settings of the instances
   * @param zones names of the zones; a zone is a position in this list
   * @param requestClasses the request classes, in the order of the settings
   * @param proxies the proxies; a proxy is a position in this list
   * @param sampleInterval interval over which arrivals are counted
   * @param duration duration of the recording
   */
  public record Head(
      int version,
      String name,
      Settings settings,
      List<String> zones,
      List<RequestClassInfo> requestClasses,
      List<ProxyInfo> proxies,
      long sampleInterval,
      long duration) {}

  /**
   * The properties of a request class that the settings do not contain. Durations are in {@link
   * stonespring.model.DeciMillis}.
   *
   * @param timeout time after which clients give up a request
   * @param serviceTime processing time of a request on a core of speed 1, as in {@link
   *     LoadSample.ProcessChanged}
   */
  public record RequestClassInfo(String name, long timeout, long serviceTime) {}

  /**
   * A proxy of the recorded fleet.
   *
   * @param zone position in the list of zones
   * @param usualRequestsPerSecond request rate that the proxy usually receives
   */
  public record ProxyInfo(String name, int zone, double usualRequestsPerSecond) {}
}
