package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import stonespring.model.ProxyId;

/** Tests at which times the headroom that a sent move takes or frees is counted. */
final class InFlightMovesTest {
  private final EngineClock clock = new EngineClock(0);
  private final InFlightMoves moves = new InFlightMoves(clock);
  private final ProxyState proxy = new ProxyState(new ProxyId(0), 1);

  private void addMove(double position) {
    LatencyModel latency = new LatencyModel(List.of());
    EndpointState from = new EndpointState(0, new EndpointStatistics(latency, 1));
    EndpointState to = new EndpointState(1, new EndpointStatistics(latency, 1));
    moves.add(proxy, position, Map.of(from, -5.0, to, 5.0));
  }

  private double[] headroom() {
    double[] headroom = {10, 10};
    moves.applyTo(headroom);
    return headroom;
  }

  @Test
  void creditsFreedHeadroomOnceAcknowledged() {
    addMove(100);
    assertArrayEquals(
        new double[] {10, 5}, headroom(), "headroom that the move takes is subtracted at once");
    moves.recordAcknowledgement(new ProxyState(new ProxyId(1), 1), 100);
    moves.recordAcknowledgement(proxy, 99);
    assertArrayEquals(
        new double[] {10, 5},
        headroom(),
        "acknowledgements of another proxy or an earlier update must not credit the move");
    assertTrue(moves.isAwaitingCredit());
    moves.recordAcknowledgement(proxy, 100);
    assertArrayEquals(new double[] {15, 5}, headroom());
    assertFalse(moves.isAwaitingCredit());
  }

  @Test
  void creditsFreedHeadroomAfterTwoSecondsWithoutAcknowledgement() {
    addMove(0);
    clock.advanceTo(2 * Fleet.SECOND - 1);
    assertTrue(moves.isAwaitingCredit());
    clock.advanceTo(2 * Fleet.SECOND);
    assertFalse(moves.isAwaitingCredit());
    assertArrayEquals(new double[] {15, 5}, headroom());
  }

  @Test
  void creditsFreedHeadroomWhenProxyDisconnects() {
    addMove(0);
    moves.recordDisconnection(proxy);
    assertFalse(moves.isAwaitingCredit());
  }

  @Test
  void removesMovesOnceReportsShowThem() {
    addMove(0);
    clock.advanceTo(3 * Fleet.SECOND);
    moves.removeReported();
    assertArrayEquals(new double[] {15, 5}, headroom());
    clock.advanceTo(3 * Fleet.SECOND + 1);
    moves.removeReported();
    assertArrayEquals(new double[] {10, 10}, headroom());
  }
}
