package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stonespring.model.DeciMillis;

final class RestartBudgetTest {
  @Test
  void failuresOfWeeksAreForgivenAndThoseOfAnHourAreNot() {
    RestartBudget budget = new RestartBudget();
    long hour = 3_600 * DeciMillis.SECOND;
    for (long week = 0; week < 500; week++) {
      assertTrue(budget.tryRestart(week * 7 * 24 * hour));
    }
    int left = 0;
    long now = 500 * 7 * 24 * hour;
    while (budget.tryRestart(now++)) {
      left++;
    }
    assertEquals(10, left);
  }
}
