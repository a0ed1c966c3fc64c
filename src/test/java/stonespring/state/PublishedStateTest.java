package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.state.StateFixture.PROXY;
import static stonespring.state.StateFixture.hello;
import static stonespring.state.StateFixture.update;

import java.util.List;
import org.junit.jupiter.api.Test;

final class PublishedStateTest {
  @Test
  void doesNotCommitAnUpdateWhenTheStoreIsFull() {
    ProxySessions<Object> sessions = new ProxySessions<>(5);
    KeyStore keys = new KeyStore(10, 3);
    PublishedState published =
        new PublishedState(
            keys, new PublishedKeyCodec(StateFixture.REQUEST_CLASSES), "e", sessions);
    sessions.handleHello("p", hello("l", 1), new Object(), 0, 10);
    assertEquals(List.of(), published.publish(update(PROXY, 5)));
    assertTrue(keys.snapshot("/proxy/p/").stream().noneMatch(k -> k.key().endsWith("/commit")));
    // The three stored keys have the sequence numbers 11 to 13; a deletion needs no free space.
    assertNotNull(keys.delete("/x"));
    assertEquals(14, keys.sequence());
    assertEquals(15, published.publishSessionEnd(PROXY).get(0).sequence());
  }
}
