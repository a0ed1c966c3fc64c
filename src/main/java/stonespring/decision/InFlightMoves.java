package stonespring.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import stonespring.model.DeciMillis;

/** Moves that were sent and that reports do not show yet: the headroom that they take and free. */
final class InFlightMoves {
  /** DeciMillis until reports show a move: message delivery, a report interval and its delay. */
  static final long VISIBLE_AFTER_DECI_MILLIS = 3 * DeciMillis.SECOND;

  /**
   * DeciMillis after which the room that a move frees counts although no proxy acknowledged it, as
   * in the paper that {@link UpdateScheduler} follows; an acknowledgement may be lost.
   */
  private static final long CREDIT_TIMEOUT_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** One move; rate changes are in requests per second, below 0 where it takes load away. */
  private static final class InFlightMove {
    private final ProxyState proxy;
    private final double batchStartPosition;
    private final long sentAt;
    private final Map<EndpointState, Double> rateChanges;
    private boolean acknowledged;

    InFlightMove(
        ProxyState proxy,
        double batchStartPosition,
        long sentAt,
        Map<EndpointState, Double> rateChanges) {
      this.proxy = proxy;
      this.batchStartPosition = batchStartPosition;
      this.sentAt = sentAt;
      this.rateChanges = rateChanges;
    }
  }

  private final EngineClock clock;
  private final List<InFlightMove> moves = new ArrayList<>();

  InFlightMoves(EngineClock clock) {
    this.clock = clock;
  }

  /** Adds a move of the batch that starts at a position of the channel. */
  void add(ProxyState proxy, double batchStartPosition, Map<EndpointState, Double> rateChanges) {
    moves.add(new InFlightMove(proxy, batchStartPosition, clock.now(), rateChanges));
  }

  /** Notes that a proxy applied all updates up to the batch that starts at a position. */
  void recordAcknowledgement(ProxyState proxy, double batchStartPosition) {
    for (InFlightMove move : moves) {
      move.acknowledged |= move.proxy == proxy && move.batchStartPosition <= batchStartPosition;
    }
  }

  /** Notes that a proxy is gone, and with it the load that its moves took away. */
  void recordDisconnection(ProxyState proxy) {
    for (InFlightMove move : moves) {
      move.acknowledged |= move.proxy == proxy;
    }
  }

  /** Drops moves that reports show by now. */
  void removeVisible() {
    moves.removeIf(move -> clock.since(move.sentAt) > VISIBLE_AFTER_DECI_MILLIS);
  }

  /** Whether a move's freed room may still be acknowledged. */
  boolean isAwaitingCredit() {
    return moves.stream().anyMatch(move -> !isCredited(move));
  }

  private boolean isCredited(InFlightMove move) {
    return move.acknowledged || clock.since(move.sentAt) >= CREDIT_TIMEOUT_DECI_MILLIS;
  }

  /**
   * Takes what the moves add from the headroom, and adds what they free once it is credited.
   *
   * @param headroom requests per second by endpoint index
   */
  void applyTo(double[] headroom) {
    for (InFlightMove move : moves) {
      boolean credited = isCredited(move);
      move.rateChanges.forEach(
          (endpoint, change) -> {
            if (change > 0 || credited) {
              headroom[endpoint.index()] -= change;
            }
          });
    }
  }
}
