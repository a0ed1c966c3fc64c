package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.state.StateFixture.hello;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.model.ProxyId;
import stonespring.model.ZoneId;

final class ProxySessionsTest {
  /** Guards against one connection that opens sessions under ever new names. */
  @Test
  void refusesSessionsOverTheLimitOfAConnection() {
    ProxySessions<Object> sessions = new ProxySessions<>(1000);
    Object connection = new Object();
    int connected = 0;
    for (int i = 0; i < 500; i++) {
      boolean accepted =
          sessions.handleHello("p" + i, hello("l", 1), connection, 0, 10)
              instanceof HelloResult.Connected;
      connected += accepted ? 1 : 0;
    }
    assertEquals(16, connected);
    assertEquals(16, sessions.endSessions(connection).size());
  }

  @Test
  void refusesProxiesOverTheLimitAndReusesIdsOfDisconnectedOnes() {
    ProxySessions<Object> sessions = new ProxySessions<>(2);
    ProxyHello hello = hello("l", 1);
    Object connection = new Object();
    assertInstanceOf(
        HelloResult.Connected.class, sessions.handleHello("a", hello, connection, 0, 10));
    assertInstanceOf(
        HelloResult.Connected.class, sessions.handleHello("b", hello, new Object(), 0, 10));
    assertInstanceOf(
        HelloResult.Refused.class, sessions.handleHello("c", hello, new Object(), 0, 10));
    long earlierSessionNumber = sessions.sessionNumber(new ProxyId(0));
    assertEquals(List.of(new ProxyId(0)), sessions.endSessions(connection));
    HelloResult.Connected<Object> connected =
        (HelloResult.Connected<Object>) sessions.handleHello("c", hello, new Object(), 1, 10);
    assertEquals(new ProxyId(0), connected.proxy());
    assertTrue(
        sessions.sessionNumber(connected.proxy()) > earlierSessionNumber,
        "a reused id must have a new session number");
    assertEquals(Optional.empty(), sessions.find("a", connection));
    assertEquals(2, sessions.endExpiredSessions(10).size());
    assertEquals(0, sessions.connectedCount());
  }

  /**
   * Guards against a name that is connected twice and against a wrong number of connected proxies,
   * after random hellos, expirations and closed connections.
   */
  @Test
  void connectedCountMatchesConnectedProxiesAfterEachRandomStep() {
    SplittableRandom random = new SplittableRandom(4);
    ProxySessions<Object> sessions = new ProxySessions<>(20);
    List<Object> connections = new ArrayList<>(List.of(new Object(), new Object(), new Object()));
    for (int i = 0; i < 20_000; i++) {
      Object connection = connections.get(random.nextInt(3));
      switch (random.nextInt(6)) {
        case 0 -> sessions.endSessions(connection);
        case 1 -> sessions.endExpiredSessions(i);
        default ->
            sessions.handleHello(
                "p" + random.nextInt(30),
                new ProxyHello(
                    "l" + random.nextInt(2),
                    random.nextInt(3),
                    new ZoneId(0),
                    1,
                    false,
                    Optional.empty()),
                connection,
                i,
                i + random.nextInt(200));
      }
      int connected = 0;
      for (int number = 0; number < 20; number++) {
        try {
          connected += sessions.isConnected(new ProxyId(number)) ? 1 : 0;
        } catch (RuntimeException e) {
          throw new AssertionError("isConnected failed for proxy " + number, e);
        }
      }
      assertEquals(connected, sessions.connectedCount());
    }
  }
}
