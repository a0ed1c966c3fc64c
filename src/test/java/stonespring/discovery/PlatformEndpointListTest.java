package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.discovery.PlatformListServer.entry;
import static stonespring.discovery.PlatformListServer.message;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class PlatformEndpointListTest {
  private final PlatformEndpointList list = PlatformSourceFixture.newList();

  private void apply(String message) throws InvalidEndpointListException {
    list.apply(
        list.parseMessage(message.getBytes(StandardCharsets.UTF_8)),
        list.version(),
        PlatformEndpointList.Origin.WATCH);
  }

  /** Guards against a memory leak as endpoints with ever new ids are added and removed. */
  @Test
  void retainsNoRemovedEndpoints() throws Exception {
    for (int i = 0; i < 5_000; i++) {
      apply(message(i, false, entry("s-" + i, "Ready")));
      if (i >= 3) {
        apply(message(i, false, entry("s-" + (i - 3), "Gone")));
      }
    }
    assertEquals(3, list.endpoints().size());
  }
}
