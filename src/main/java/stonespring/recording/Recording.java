package stonespring.recording;

import java.util.List;
import stonespring.model.Settings;

/**
 * The recorded load of a day. What was decided on that day is no part of it.
 *
 * @param samples in the order of their times
 */
public record Recording(Head head, List<LoadSample> samples) {
  /** The version of the file format that is written and read. */
  public static final int VERSION = 1;

  /**
   * What holds all day. Times are in {@link stonespring.model.DeciMillis}.
   *
   * @param version of the file format
   * @param zones the zones' names, by position
   * @param sampleInterval the time over which arrivals are counted together
   * @param duration length of the day
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
   * What the settings do not say of a request class. Times are in {@link
   * stonespring.model.DeciMillis}.
   *
   * @param timeout when clients give up
   * @param serviceTime of a request on a usual core
   */
  public record RequestClassInfo(String name, long timeout, long serviceTime) {}

  /**
   * A proxy.
   *
   * @param zone by position
   * @param usualRequestsPerSecond what it usually receives
   */
  public record ProxyInfo(String name, int zone, double usualRequestsPerSecond) {}
}
