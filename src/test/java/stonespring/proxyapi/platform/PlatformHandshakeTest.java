package stonespring.proxyapi.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.proxyapi.platform.PlatformApiFixture.Client;

/** Tests connections before and during the handshake: valid messages, limits and refusals. */
final class PlatformHandshakeTest {
  @RegisterExtension final PlatformApiFixture fixture = new PlatformApiFixture();

  @Test
  void answersKeepAlivesBeforeAndAfterHandshake() throws Exception {
    fixture.connect().assertAnswersKeepAlive();
    fixture.connectProxy().assertAnswersKeepAlive();
    Client collector = fixture.connect().send("SOURCE site=west");
    collector.assertAnswersKeepAlive();
    assertTrue(fixture.hasNoEvents());
  }

  @Test
  void refusesPeerWhoseFirstMessageIsInvalid() throws Exception {
    for (String invalid :
        new String[] {
          "GET / HTTP/1.1",
          "SUBSCRIBE id=10 site=east rps=1 new=1",
          "SUBSCRIBE id=3 site=mars rps=1 new=1",
          "SUBSCRIBE id=x site=east rps=1 new=1",
          "SUBSCRIBE id=3 site=east rps=NaN new=1",
          "SUBSCRIBE id=3 site=east rps=1",
          "SUBSCRIBE id=3 site=east rps=1 new=2",
          "SOURCE site=mars",
          "LOAD site=west target=s-1 count=1 fail=0 mean=1 over=1000",
          "CONFIG rows=s-1:1",
          "\u0001",
          "x".repeat(500),
          ""
        }) {
      Client client = fixture.connect().send(invalid);
      String answer = client.receive();
      assertTrue(
          answer != null && answer.startsWith("NACK reason="),
          "answer to " + invalid + ": " + answer);
      assertNull(client.receive());
    }
    assertTrue(fixture.hasNoEvents());
  }

  @Test
  void closesConnectionWhenHandshakeTimesOut() throws Exception {
    fixture.startListener(300);
    Client silentClient = fixture.connect();
    Client pingingClient = fixture.connect();
    pingingClient.assertAnswersKeepAlive();
    Client partialLineClient = fixture.connect();
    partialLineClient.out().write("SUBSCR".getBytes(StandardCharsets.US_ASCII));
    for (Client client : List.of(silentClient, pingingClient, partialLineClient)) {
      assertTrue(client.receive().startsWith("NACK"));
      assertNull(client.receive());
    }
  }

  /** The oldest pending connections are closed, so that file descriptors remain for proxies. */
  @Test
  void acceptsProxyWhileManyHandshakesArePending() throws Exception {
    List<Client> pendingClients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      pendingClients.add(fixture.connect());
    }
    Client proxy = fixture.connectProxy();
    for (int i = 0; i < 30 - PlatformApiFixture.MAX_PENDING_HANDSHAKES; i++) {
      assertTrue(
          pendingClients.get(i).receive().startsWith("NACK"), "refusal of pending connection " + i);
    }
    proxy.assertAnswersKeepAlive();
    assertTrue(fixture.api().isConnected(new ProxyId(3)));
  }

  /** Guards against connections that use the descriptors which the process needs itself. */
  @Test
  void refusesConnectionsAboveLimitUntilOneCloses() throws Exception {
    List<Client> proxies = new ArrayList<>();
    for (int id = 0; id < 10; id++) {
      proxies.add(fixture.connect().send("SUBSCRIBE id=" + id + " site=east rps=1 new=1"));
      assertTrue(fixture.nextEvent() instanceof Event.ProxyConnected);
    }
    for (int i = 0; i < PlatformApiFixture.MAX_CONNECTIONS - proxies.size(); i++) {
      Client collector = fixture.connect().send("SOURCE site=" + (i % 2 == 0 ? "west" : "east"));
      collector.assertAnswersKeepAlive();
    }
    Client refused = fixture.connect();
    assertEquals("NACK reason=too-many-connections", refused.receive());
    assertNull(refused.receive());

    proxies.get(0).close();
    assertTrue(fixture.nextEvent() instanceof Event.ProxyDisconnected);
    fixture.connect().send("SUBSCRIBE id=0 site=east rps=1 new=0").assertAnswersKeepAlive();
    for (Client proxy : proxies.subList(1, proxies.size())) {
      proxy.assertAnswersKeepAlive();
    }
  }

  /**
   * More proxies connect than the limit of pending handshakes, and all of them subscribe before the
   * event loop reads the first message.
   */
  @Test
  void keepsProxiesThatSubscribedWhileEventLoopWasBlocked() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    fixture.executeOnEventLoop(
        () -> {
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    List<Client> fleet = new ArrayList<>();
    for (int id = 0; id < 10; id++) {
      fleet.add(fixture.connect().send("SUBSCRIBE id=" + id + " site=east rps=1 new=1"));
    }
    release.countDown();
    for (int id = 0; id < 10; id++) {
      assertTrue(fixture.nextEvent() instanceof Event.ProxyConnected);
    }
    for (Client proxy : fleet) {
      proxy.assertAnswersKeepAlive();
    }
    assertTrue(fixture.hasNoEvents(), "no proxy disconnected");
  }

  /**
   * Neither responses nor a refusal can be written to this peer. The connection must be closed
   * without waiting for the peer, so that its file descriptor becomes free.
   */
  @Test
  void resetsConnectionWhenPeerReadsNothingBeforeHandshake() throws Exception {
    Client client = fixture.connect();
    byte[] keepAlives = "PING\r\n".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
    assertThrows(
        IOException.class,
        () -> {
          for (int i = 0; i < 2_000; i++) {
            client.out().write(keepAlives);
          }
        },
        "the connection must be reset before 120 MB are written");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "SUBSCRIBE id=10 site=east rps=1 new=1"
            + "|SUBSCRIBE-field-id-names-no-proxy-of-the-settings-10",
        "SUBSCRIBE id=3 site=mars rps=1 new=1"
            + "|SUBSCRIBE-field-site-names-no-zone-of-the-settings-mars",
        "SUBSCRIBE id=x site=east rps=1 new=1|SUBSCRIBE-field-id-is-not-a-whole-number-x",
        "SUBSCRIBE id=3 site=east rps=NaN new=1"
            + "|SUBSCRIBE-field-rps-is-not-a-number-from-0-to-1-0E7-NaN",
        "SUBSCRIBE id=3 site=east rps=1|SUBSCRIBE-field-new-is-missing",
        "SUBSCRIBE id=3 site=east rps=1 new=2|SUBSCRIBE-field-new-is-neither-0-nor-1-2",
        "SUBSCRIBE id=3 id=3|SUBSCRIBE-id-comes-twice",
        "CONFIG rows=s-1:1|no-joining-before-CONFIG"
      })
  void namesFieldAndProblemInRefusal(String message, String reason) throws Exception {
    assertEquals("NACK reason=" + reason, fixture.connect().send(message).receive());
  }
}
