package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stonespring.model.DeciMillis;

/** Tests the limit on how often the engine is restarted. */
final class RestartBudgetTest {
  @Test
  void limitsRestartsPerHourButNotOverWeeks() {
    RestartBudget budget = new RestartBudget();
    long hour = 3_600 * DeciMillis.SECOND;
    for (long week = 0; week < 500; week++) {
      assertTrue(budget.tryRestart(week * 7 * 24 * hour));
    }
    int granted = 0;
    long now = 500 * 7 * 24 * hour;
    while (budget.tryRestart(now++)) {
      granted++;
    }
    assertEquals(10, granted);
  }
}
