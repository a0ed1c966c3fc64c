package stonespring.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import stonespring.model.DeciMillis;

/**
 * Moves that were sent but do not show in reports yet. A move is a change of the weights in one
 * proxy's table: it takes headroom at the endpoints to which it adds load, and frees headroom at
 * those from which it removes load.
 */
final class InFlightMoves {
  /**
   * Time until reports show a move: message delivery, a report interval and the delay of reports.
   */
  static final long REPORTING_DELAY_DECI_MILLIS = 3 * DeciMillis.SECOND;

  /**
   * Time after which the headroom that a move frees is credited without an acknowledgement, which
   * may have been lost. The value is that of the paper that {@link UpdateScheduler} follows.
   */
  private static final long CREDIT_TIMEOUT_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** One move. Rate changes are in requests per second, negative where the move takes load away. */
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

  /**
   * Adds a move.
   *
   * @param batchStartPosition the channel position at which its batch starts
   * @param rateChanges requests per second; negative where the move takes load away
   */
  void add(ProxyState proxy, double batchStartPosition, Map<EndpointState, Double> rateChanges) {
    moves.add(new InFlightMove(proxy, batchStartPosition, clock.now(), rateChanges));
  }

  /** Records that a proxy applied all updates up to the batch that starts at a channel position. */
  void recordAcknowledgement(ProxyState proxy, double batchStartPosition) {
    for (InFlightMove move : moves) {
      move.acknowledged |= move.proxy == proxy && move.batchStartPosition <= batchStartPosition;
    }
  }

  /**
   * Records that a proxy disconnected. The headroom that its moves free is credited at once, since
   * it sends no more requests.
   */
  void recordDisconnection(ProxyState proxy) {
    for (InFlightMove move : moves) {
      move.acknowledged |= move.proxy == proxy;
    }
  }

  /** Removes the moves that are old enough to show in reports. */
  void removeReported() {
    moves.removeIf(move -> clock.since(move.sentAt) > REPORTING_DELAY_DECI_MILLIS);
  }

  /** Returns whether there is a move whose freed headroom is not credited yet. */
  boolean isAwaitingCredit() {
    return moves.stream().anyMatch(move -> !isCredited(move));
  }

  private boolean isCredited(InFlightMove move) {
    return move.acknowledged || clock.since(move.sentAt) >= CREDIT_TIMEOUT_DECI_MILLIS;
  }

  /**
   * Subtracts what the moves add from the headroom, and adds what they free once it is credited.
   *
   * @param headroom requests per second by endpoint index; changed in place
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
