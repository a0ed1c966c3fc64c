package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.DeciMillis;

/** Endpoints that warm up while the fleet scales out during a surge. */
final class ScaleOutUnderSurgeTest {
  /** Times the overload limit, 3.8 without the guard; the aim is less than 0.8. */
  private static final double KNOWN_WORST_SHARE = 2;

  /**
   * The overload limit of endpoints that warm up is passed in this harsh a run: the share asserted
   * is the worst that is known, so that nothing makes it worse unseen;
   * docs/incidents/growth-in-a-surge.md has what was tried.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void keepsInvariantsAndLoadBelowKnownWorst(long seed) {
    ScaleOutSimulation simulation =
        new ScaleOutSimulation(seed, (1 + seed % 3) * DeciMillis.SECOND);
    double share = simulation.run(1.5 + seed % 3 / 2.0, 1 + (int) (seed % 4) * 2);
    assertTrue(
        share < KNOWN_WORST_SHARE,
        "a warming endpoint reached "
            + share
            + " of the overload limit: "
            + simulation.worstLoadDescription());
  }
}
