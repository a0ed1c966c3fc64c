package stonespring.decision;

import java.util.Arrays;
import stonespring.model.DeciMillis;
import stonespring.model.Event;
import stonespring.model.LoadReport;

/**
 * Outcomes that this instance's proxies observed at one endpoint. Older observations decay
 * exponentially.
 */
final class EndpointStatistics {
  /**
   * Number of successful attempts that is assumed in addition to those observed, since the failure
   * share of fewer attempts is not significant.
   */
  static final double PRIOR_ATTEMPTS = 2;

  /**
   * Share of attempts that may fail or be late in normal operation; some answers always are late.
   */
  static final double NORMAL_FAILED_OR_LATE_SHARE = 0.15;

  /** How much later than a report interval the next report may arrive without being missing. */
  private static final long REPORT_DELAY_TOLERANCE_DECI_MILLIS = 4 * DeciMillis.SECOND;

  /** Decayed counts of the outcomes that the proxies of one zone reported. */
  private static final class ZoneOutcomes {
    private double attempts;
    private double failures;
    private double attemptRate;
    private long lastReportAt; // 0 if there was no report since the last reset

    private void reset() {
      attempts = 0;
      failures = 0;
      attemptRate = 0;
      lastReportAt = 0;
    }

    private void decay(double retention) {
      failures *= retention;
      attempts *= retention;
      attemptRate *= retention;
    }
  }

  private final LatencyModel latencyModel;
  private final ZoneOutcomes[] zones;
  private double attemptRate;
  private double utilization;
  private double reportedRate;
  private double successLatency;

  EndpointStatistics(LatencyModel latencyModel, int zoneCount) {
    this.latencyModel = latencyModel;
    zones = new ZoneOutcomes[zoneCount];
    Arrays.setAll(zones, zone -> new ZoneOutcomes());
    reset();
  }

  /** Discards all observations. */
  void reset() {
    utilization = Double.NaN;
    reportedRate = Double.NaN;
    successLatency = Double.NaN;
    attemptRate = 0;
    for (ZoneOutcomes zone : zones) {
      zone.reset();
    }
  }

  /** Records the outcomes that the proxies of one zone report. */
  void record(Event.EndpointOutcomes outcomes, long now) {
    double interval = Math.max(1, outcomes.interval());
    double retention = ExponentialAverage.retentionOver(interval);
    double sampledRate = outcomes.attempts() * DeciMillis.SECOND / interval;
    ZoneOutcomes zone = zones[outcomes.proxyZone().index()];
    zone.failures = zone.failures * retention + outcomes.failures();
    zone.attempts = zone.attempts * retention + outcomes.attempts();
    double previousRate = zone.lastReportAt == 0 ? Double.NaN : zone.attemptRate;
    zone.attemptRate = ExponentialAverage.update(previousRate, sampledRate, retention);
    zone.lastReportAt = now;
    LoadReport load = outcomes.report();
    // A reported utilization is itself a mean over time, so the average keeps less of older values.
    utilization = ExponentialAverage.update(utilization, load.utilization(), retention * retention);
    reportedRate = ExponentialAverage.update(reportedRate, load.requestsPerSecond(), retention);
    if (outcomes.successLatency() > 0) {
      successLatency =
          ExponentialAverage.update(successLatency, outcomes.successLatency(), retention);
    }
  }

  /**
   * Updates the attempt rate at the start of a round. Observations of a zone decay with each
   * report; here they decay only for zones whose next report is missing.
   */
  void startRound(long now, long reportInterval) {
    double retention = ExponentialAverage.retentionOver(reportInterval);
    attemptRate = 0;
    for (ZoneOutcomes zone : zones) {
      if (now - zone.lastReportAt > REPORT_DELAY_TOLERANCE_DECI_MILLIS + reportInterval) {
        zone.decay(retention);
      }
      attemptRate += zone.attemptRate;
    }
  }

  /** Attempts per second of all zones, as of the last {@link #startRound}. */
  double attemptRate() {
    return attemptRate;
  }

  /** Utilization that the endpoint itself reports, 0 to 1; NaN if unknown. */
  double utilization() {
    return utilization;
  }

  /** Requests per second that the endpoint itself reports; NaN if unknown. */
  double reportedRate() {
    return reportedRate;
  }

  /** Share of attempts of all zones' proxies that succeed; 1 without attempts. */
  double successShare() {
    double failures = Arrays.stream(zones).mapToDouble(zone -> zone.failures).sum();
    double attempts = Arrays.stream(zones).mapToDouble(zone -> zone.attempts).sum();
    return 1 - failures / (attempts + PRIOR_ATTEMPTS);
  }

  /** Share of attempts of one zone's proxies that fail; 0 without attempts. */
  double failureShare(int zone) {
    return zones[zone].failures / (zones[zone].attempts + PRIOR_ATTEMPTS);
  }

  /** Estimated share of successful answers that miss the latency objective. */
  double lateShare() {
    return latencyModel.lateShare(successLatency);
  }

  /** Estimated share of attempts that fail or are answered late. */
  double failedOrLateShare() {
    return 1 - successShare() * (1 - lateShare());
  }
}
