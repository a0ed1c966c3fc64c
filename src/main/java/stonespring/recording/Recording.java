package stonespring.recording;

import java.util.List;
import stonespring.model.Settings;

/**
 * A recorded day. What was decided on it is no part: the same load can be played with any
 * decisions.
 *
 * @param moments in the order of their times
 */
public record Recording(Head head, List<LoadSample> moments) {
  /**
   * What holds all day. Times in tenths of a millisecond.
   *
   * @param version of the format; this code writes and reads {@link #VERSION}
   * @param every the span over which ops that came are counted together
   * @param length of the day
   */
  public record Head(
      int version,
      String name,
      Settings settings,
      List<String> zones,
      List<Type> types,
      List<Proxy> proxies,
      long every,
      long length) {}

  /**
   * An op type besides what the settings say of it: its name, when clients give up, its work on a
   * usual core.
   */
  public record Type(String name, long opTimeout, long work) {}

  /** A proxy: its zone by position, and what it usually gets, ops a second. */
  public record Proxy(String name, int zone, double usualOps) {}

  public static final int VERSION = 1;
}
