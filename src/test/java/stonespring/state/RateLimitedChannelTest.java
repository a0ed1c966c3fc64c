package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.state.StateFixture.OTHER_PROXY;
import static stonespring.state.StateFixture.PROXY;
import static stonespring.state.StateFixture.keys;
import static stonespring.state.StateFixture.routeChange;
import static stonespring.state.StateFixture.update;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

final class RateLimitedChannelTest {
  /** Creates a channel for 1000 entries per second with an overhead of 10 entries per message. */
  private static RateLimitedChannel channel(int maxBacklogEntries) {
    return new RateLimitedChannel(
        new Settings.ChannelLimits(maxBacklogEntries, 10, 0, 10 * DeciMillis.SECOND, 1000, false));
  }

  @Test
  void sendsUpdatesInOrderAtTheEntryRate() {
    RateLimitedChannel channel = channel(100);
    channel.offer(List.of(update(PROXY, 10), update(OTHER_PROXY, 30)), 0);
    assertEquals(60, channel.backlogEntries());
    assertEquals(List.of(), channel.takeDue(199));
    assertEquals(PROXY, channel.takeDue(200).get(0).proxy());
    assertEquals(600, channel.nextDepartureAt());
    assertEquals(OTHER_PROXY, channel.takeDue(600).get(0).proxy());
    assertTrue(channel.isEmpty());
    channel.offer(List.of(update(PROXY, 10)), 10_000);
    assertEquals(
        10_200, channel.nextDepartureAt(), "idle time must not shorten a later transmission");
  }

  @Test
  void mergesUpdatesOfOneProxyWithoutLossWhenTheBacklogIsFull() {
    RateLimitedChannel channel = channel(50);
    for (int i = 0; i < 1000; i++) {
      ProxyUpdate update =
          new ProxyUpdate(PROXY, List.of(routeChange("t" + i % 5, i)), 1, Optional.empty(), 0);
      channel.offer(List.of(update), 0);
    }
    assertTrue(
        channel.backlogEntries() <= 60, "backlog over 60 entries: " + channel.backlogEntries());
    assertTrue(channel.mergedUpdateCount() > 900);
    Map<String, String> latestValues = new LinkedHashMap<>();
    channel.takeDue(1_000_000).forEach(update -> latestValues.putAll(keys(update)));
    for (int k = 0; k < 5; k++) {
      assertEquals(
          String.valueOf(995 + k),
          latestValues.get("line/7/t" + k),
          "the later value of a merged route must remain");
    }
    channel.offer(List.of(update(PROXY, 3), update(OTHER_PROXY, 3)), 2_000_000);
    channel.removeProxy(PROXY);
    assertEquals(13, channel.backlogEntries());
  }
}
