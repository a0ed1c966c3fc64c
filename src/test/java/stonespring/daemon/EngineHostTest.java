package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.daemon.HostSimulation.SECOND;
import static stonespring.daemon.HostSimulation.STEP_DECI_MILLIS;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AckId;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/** Tests an engine host in virtual time together with proxies that apply the keys it publishes. */
final class EngineHostTest {
  private static final RequestClassId VIEW = new RequestClassId(0);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void keepsInvariantsAfterEveryStepOfRandomRun(long seed) {
    HostSimulation simulation = new HostSimulation(seed, seed > 6);
    simulation.run(3000);
    assertEquals(0, simulation.lostUpdateCount(), "no update is lost in virtual time");
    assertTrue(simulation.hostStartCount() > 1);
  }

  @Test
  void snapshotContainsSameRoutesAsEarlierUpdates() {
    HostSimulation simulation = new HostSimulation(9, false);
    simulation.run(1500);
    int compared = 0;
    for (SimulatedProxy proxy : simulation.proxies()) {
      SimulatedProxy lateProxy = simulation.createProxy(proxy.name(), 0);
      lateProxy.startEmpty();
      lateProxy.applySnapshot(simulation.host(), simulation.now());
      Map<String, Double> weights = lateProxy.router().weights(VIEW);
      if (proxy.isConnected() && !lateProxy.router().isWithoutTables() && !weights.isEmpty()) {
        assertEquals(proxy.router().weights(VIEW), weights);
        compared++;
      }
    }
    assertTrue(compared > 5, "expected more than 5 comparisons, got " + compared);
  }

  private static HostSimulation createSimulationWithOneEndpoint() {
    HostSimulation simulation = new HostSimulation(1, false);
    simulation.addEndpoint("a@h:1", 0);
    simulation.startHost();
    return simulation;
  }

  private static ProxyAcknowledgement acknowledgement(String stream, int ack) {
    return new ProxyAcknowledgement(stream, new AckId(ack), 1);
  }

  @Test
  void closesOnlyConnectionThatViolatesTheSessionProtocol() {
    HostSimulation simulation = createSimulationWithOneEndpoint();
    EngineHost host = simulation.host();
    SimulatedProxy proxy = simulation.addProxy("p0", 0);
    RecordingConnection unknownConnection = new RecordingConnection();
    host.handleReport("p0", new ProxyReport(SECOND, List.of(), List.of()), unknownConnection);
    assertTrue(unknownConnection.closeReason().contains("has no session on this connection"));

    simulation.connect(proxy);
    simulation.advance(STEP_DECI_MILLIS);
    simulation.advance(SECOND);
    RecordingConnection conflictingConnection = new RecordingConnection();
    ProxyHello otherProcess =
        new ProxyHello("another-life", 99, new ZoneId(0), 1, true, Optional.empty());
    host.handleHello("p0", otherProcess, SECOND, conflictingConnection, simulation.now());
    assertEquals(
        "proxy p0 refused: another session with this name is active",
        conflictingConnection.closeReason());

    RecordingConnection otherConnection = new RecordingConnection();
    host.handleAcknowledgement(
        "p0", acknowledgement(proxy.stream(), 1), otherConnection, simulation.now());
    assertTrue(otherConnection.closeReason().contains("has no session on this connection"));

    host.handleAcknowledgement(
        "p0", acknowledgement("some-other-stream", 1), proxy.connection(), simulation.now());
    assertNull(
        proxy.connection().closeReason(),
        "an acknowledgement of an earlier stream may be in flight and is ignored");
    host.handleAcknowledgement(
        "p0", acknowledgement(proxy.stream(), 64_999), proxy.connection(), simulation.now());
    assertEquals(
        "answer: acknowledgement 64999 was never requested of proxy p0",
        proxy.connection().closeReason());
  }

  /**
   * The old connection is half open: the proxy no longer uses it, but the host still regards it as
   * open.
   */
  @Test
  void replacesSessionWhenProxyConnectsOnNewerStream() {
    HostSimulation simulation = createSimulationWithOneEndpoint();
    EngineHost host = simulation.host();
    SimulatedProxy proxy = simulation.addProxy("p0", 0);
    simulation.connect(proxy);
    simulation.advance(SECOND);
    RecordingConnection oldConnection = proxy.connection();
    String oldStream = proxy.stream();
    simulation.connect(proxy);
    simulation.advance(SECOND);
    assertTrue(oldConnection.closeReason().contains("connected again in a newer session"));
    assertEquals(1, host.connectedProxyCount());

    for (int i = 0; i < 100 && proxy.stream().equals(oldStream); i++) {
      simulation.advanceClock(STEP_DECI_MILLIS);
      proxy.sendHello(host, simulation.now());
      simulation.report(proxy);
      simulation.advance(0);
    }
    assertNotEquals(oldStream, proxy.stream(), "the new stream gets updates of its own");
    simulation.advance(4 * SECOND);
    assertEquals(0, host.connectedProxyCount(), "a session that is not renewed expires");
  }
}
