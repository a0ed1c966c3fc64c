package stonespring.solver;

import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ZoneId;

/** What the advisor has observed of one listed endpoint. */
final class ObservedEndpoint {
  /** DeciMillis after which an observation counts half. */
  static final double SMOOTHING_HALF_LIFE = 2 * DeciMillis.SECOND;

  /** DeciMillis after which a reading of the capacity counts half. */
  private static final double CAPACITY_HALF_LIFE = 2 * DeciMillis.SECOND;

  /** Multiple of the latency objective that a mean latency must exceed for most to be late. */
  private static final double LATE_LATENCY_MULTIPLE = 1;

  private ZoneId zone;
  private boolean ready;
  private long startedAt;
  private double attempts;
  private double failures;
  private long roundAttempts;
  private long roundFailedOrLate;
  private long roundInterval;
  private double utilization;
  private double reportedRate;
  private double smoothedCapacity = Double.NaN;

  /** Takes its record; returns whether its process started again. */
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
   * Takes outcomes. Each zone reports its own part of a round: only all of them together are what
   * the endpoint received.
   */
  void recordOutcomes(Event.EndpointOutcomes outcomes, long latencyObjective) {
    double retainedShare = Math.pow(0.5, outcomes.interval() / SMOOTHING_HALF_LIFE);
    attempts = attempts * retainedShare + outcomes.attempts();
    failures = failures * retainedShare + outcomes.failures();
    boolean mostAreLate = outcomes.successLatency() > LATE_LATENCY_MULTIPLE * latencyObjective;
    roundAttempts += outcomes.attempts();
    roundFailedOrLate += mostAreLate ? outcomes.attempts() : outcomes.failures();
    roundInterval = Math.max(roundInterval, outcomes.interval());
    utilization = outcomes.report().utilization();
    reportedRate = outcomes.report().requestsPerSecond();
  }

  /**
   * Takes the capacity that a rate at the present utilization stands for into the mean; returns the
   * mean.
   */
  double updateSmoothedCapacity(double rate) {
    double retainedShare =
        Double.isNaN(smoothedCapacity) ? 0 : Math.pow(0.5, roundInterval / CAPACITY_HALF_LIFE);
    // In this order of operations: another rounds differently, and plans follow it.
    smoothedCapacity =
        retainedShare == 0
            ? rate / utilization
            : retainedShare * smoothedCapacity + (1 - retainedShare) * rate / utilization;
    return smoothedCapacity;
  }

  void resetRound() {
    roundAttempts = 0;
    roundFailedOrLate = 0;
    roundInterval = 0;
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

  long roundInterval() {
    return roundInterval;
  }

  double utilization() {
    return utilization;
  }

  /** The rate that it reports itself; NaN if it does not. */
  double reportedRate() {
    return reportedRate;
  }
}
