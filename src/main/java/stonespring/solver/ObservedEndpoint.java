package stonespring.solver;

import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ZoneId;

/**
 * State of one listed endpoint as the advisor has observed it. Instants and intervals are
 * deci-milliseconds.
 */
final class ObservedEndpoint {
  /**
   * Half-life of observed attempts and rates, deci-milliseconds; a compromise between stability and
   * reaction time.
   */
  static final double SMOOTHING_HALF_LIFE_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /**
   * Half-life of the smoothed capacity, deci-milliseconds; an endpoint's speed changes over
   * minutes, its reports vary from second to second.
   */
  private static final double CAPACITY_HALF_LIFE_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** Ratio of the mean latency to the latency objective above which most answers are late. */
  private static final double LATE_LATENCY_MULTIPLE = 1;

  private ZoneId zone;
  private boolean ready;
  private long startedAt;
  private double attempts;
  private double failures;
  private long roundAttempts;
  private long roundFailedOrLate;
  private long roundIntervalDeciMillis;
  private double utilization;
  private double reportedRate;

  /** Requests per second; NaN until the first reading. */
  private double smoothedCapacity = Double.NaN;

  /**
   * Updates the endpoint from its record in the endpoint list; returns whether its process
   * restarted.
   */
  boolean updateRecord(EndpointRecord listed) {
    zone = listed.zone();
    ready = listed.state() == EndpointRecord.State.READY;
    boolean restarted = listed.startedAt() > startedAt;
    if (restarted) {
      attempts = 0;
      failures = 0;
      smoothedCapacity = Double.NaN;
      startedAt = listed.startedAt();
    }
    return restarted;
  }

  /**
   * Records outcomes. Each zone reports only its own part of a round, so the attempts of all zones
   * are added up.
   */
  void recordOutcomes(Event.EndpointOutcomes outcomes, long latencyObjective) {
    double retainedShare = Math.pow(0.5, outcomes.interval() / SMOOTHING_HALF_LIFE_DECI_MILLIS);
    attempts = attempts * retainedShare + outcomes.attempts();
    failures = failures * retainedShare + outcomes.failures();
    boolean mostAreLate = outcomes.successLatency() > LATE_LATENCY_MULTIPLE * latencyObjective;
    roundAttempts += outcomes.attempts();
    roundFailedOrLate += mostAreLate ? outcomes.attempts() : outcomes.failures();
    roundIntervalDeciMillis = Math.max(roundIntervalDeciMillis, outcomes.interval());
    utilization = outcomes.report().utilization();
    reportedRate = outcomes.report().requestsPerSecond();
  }

  /**
   * Updates the smoothed capacity, requests per second, with the capacity that follows from a rate
   * at the current utilization; returns the smoothed value.
   */
  double updateSmoothedCapacity(double rate) {
    double retainedShare =
        Double.isNaN(smoothedCapacity)
            ? 0
            : Math.pow(0.5, roundIntervalDeciMillis / CAPACITY_HALF_LIFE_DECI_MILLIS);
    // Another order of operations would round differently and thereby change plans.
    smoothedCapacity =
        retainedShare == 0
            ? rate / utilization
            : retainedShare * smoothedCapacity + (1 - retainedShare) * rate / utilization;
    return smoothedCapacity;
  }

  /** Discards what was recorded in this round. */
  void resetRound() {
    roundAttempts = 0;
    roundFailedOrLate = 0;
    roundIntervalDeciMillis = 0;
  }

  ZoneId zone() {
    return zone;
  }

  boolean isReady() {
    return ready;
  }

  long startedAt() {
    return startedAt;
  }

  double attempts() {
    return attempts;
  }

  double failures() {
    return failures;
  }

  long roundAttempts() {
    return roundAttempts;
  }

  long roundFailedOrLate() {
    return roundFailedOrLate;
  }

  long roundIntervalDeciMillis() {
    return roundIntervalDeciMillis;
  }

  double utilization() {
    return utilization;
  }

  /** Returns the requests per second that the endpoint itself reported; NaN if it reported none. */
  double reportedRate() {
    return reportedRate;
  }
}
