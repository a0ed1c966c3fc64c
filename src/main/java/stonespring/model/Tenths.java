package stonespring.model;

/** Time in whole tenths of a millisecond, the only unit inside. */
public final class Tenths {
  public static final long SECOND = 10_000;

  private Tenths() {}

  public static long ofSeconds(double seconds) {
    return (long) Math.floor(seconds * SECOND + 1e-6);
  }

  public static double toSeconds(long tenths) {
    return tenths / (double) SECOND;
  }
}
