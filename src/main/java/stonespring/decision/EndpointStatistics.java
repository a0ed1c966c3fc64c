package stonespring.decision;

import java.util.Arrays;
import stonespring.model.DeciMillis;
import stonespring.model.Event;
import stonespring.model.LoadReport;

/** What this instance's proxies observed at one endpoint, with older observations decayed. */
final class EndpointStatistics {
  /** Attempts; with fewer, a share of failures is not significant. */
  static final double PRIOR_ATTEMPTS = 2;

  /** Share of attempts; so many fail or are late in normal operation. */
  static final double NORMAL_FAILED_OR_LATE_SHARE = 0.15;

  /** DeciMillis beyond a report interval, as reports may be delayed. */
  private static final long REPORT_DELAY_TOLERANCE_DECI_MILLIS = 4 * DeciMillis.SECOND;

  /** Observations of the proxies of one zone. */
  private static final class ZoneOutcomes {
    private double attempts;
    private double failures;
    private double attemptRate;
    private long lastReportAt; // 0: none since the reset

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

  /** Adds the outcomes that the proxies of one zone report. */
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
    // An endpoint reports a mean of its own, so that a newer one replaces more of an older one.
    utilization = ExponentialAverage.update(utilization, load.utilization(), retention * retention);
    reportedRate = ExponentialAverage.update(reportedRate, load.requestsPerSecond(), retention);
    if (outcomes.successLatency() > 0) {
      successLatency =
          ExponentialAverage.update(successLatency, outcomes.successLatency(), retention);
    }
  }

  /**
   * Brings the attempt rate up to date at the start of a round. A zone's report stands for its own
   * interval; only a zone that stopped to report decays.
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

  /** Busy share of the endpoint's capacity by its own reports, 0 to 1; NaN if unknown. */
  double utilization() {
    return utilization;
  }

  /** Requests per second by the endpoint's own reports; NaN if unknown. */
  double reportedRate() {
    return reportedRate;
  }

  /** Share of attempts that succeed, over all zones; 1 without attempts. */
  double successShare() {
    double failures = Arrays.stream(zones).mapToDouble(zone -> zone.failures).sum();
    double attempts = Arrays.stream(zones).mapToDouble(zone -> zone.attempts).sum();
    return 1 - failures / (attempts + PRIOR_ATTEMPTS);
  }

  /** Share of attempts that fail for the proxies of a zone. */
  double failureShare(int zone) {
    return zones[zone].failures / (zones[zone].attempts + PRIOR_ATTEMPTS);
  }

  /** Share of successful answers that miss the latency objective. */
  double lateShare() {
    return latencyModel.lateShare(successLatency);
  }

  /** Share of attempts that fail or are late. */
  double failedOrLateShare() {
    return 1 - successShare() * (1 - lateShare());
  }
}
