package stonespring.decision;

import java.util.function.Predicate;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

/** Estimates the traffic of this instance's proxies, and their part of the whole fleet's. */
final class TrafficEstimator {
  /** DeciMillis; half a report interval and the usual delay of reports. */
  private static final long CONNECT_TO_REPORT_DECI_MILLIS = DeciMillis.SECOND;

  /** DeciMillis; by then the endpoint list tells which endpoints a lost zone took with it. */
  private static final long DISCONNECTED_RETENTION_DECI_MILLIS = 8 * DeciMillis.SECOND;

  private static final double MIN_SHARE = 0.01;

  private final Settings settings;
  private final EngineClock clock;
  private final ProxyRegistry proxies;
  private boolean anyProxyVisible;
  private double reportedShare = Double.NaN;
  private double share = 1;
  private double connectedRate;
  private double offeredRate;

  TrafficEstimator(Settings settings, EngineClock clock, ProxyRegistry proxies) {
    this.settings = settings;
    this.clock = clock;
    this.proxies = proxies;
  }

  /**
   * Brings the share that reports show up to date at the start of a round. A proxy that connected
   * shows in them late and gradually.
   */
  void startRound() {
    Predicate<ProxyState> isInReports =
        proxy ->
            proxy.isConnected() && clock.since(proxy.connectedAt()) > CONNECT_TO_REPORT_DECI_MILLIS;
    anyProxyVisible |= proxies.all().stream().anyMatch(isInReports);
    if (anyProxyVisible) {
      double retention = ExponentialAverage.retentionOver(settings.reportInterval());
      reportedShare = ExponentialAverage.update(reportedShare, shareOf(isInReports), retention);
    }
  }

  /**
   * Brings the rates up to date. The latest reports count, not their average: over all proxies they
   * are steady enough, and they show a surge seconds earlier.
   */
  void refresh() {
    connectedRate =
        proxies.all().stream()
            .mapToDouble(proxy -> proxy.isConnected() ? proxy.requestRate().latestRate() : 0)
            .sum();
    share = shareOf(ProxyState::isConnected);
    offeredRate =
        proxies.all().stream()
            .mapToDouble(proxy -> countsAsOffered(proxy) ? proxy.requestRate().latestRate() : 0)
            .sum();
  }

  /** Whether reports can show any proxy's traffic yet. */
  boolean hasVisibleProxies() {
    return anyProxyVisible;
  }

  /** Requests per second of the connected proxies. */
  double connectedRate() {
    return connectedRate;
  }

  /**
   * Requests per second of the connected proxies and of those that disconnected just now: their
   * clients may move to other proxies, and endpoints lost with them are listed a while longer.
   */
  double offeredRate() {
    return offeredRate;
  }

  /** The connected proxies' share of the fleet's traffic, 0.01 to 1. */
  double share() {
    return share;
  }

  /** The share of the fleet's traffic that reports show, 0.01 to 1. */
  double reportedShare() {
    return Double.isNaN(reportedShare) ? share : reportedShare;
  }

  /** The share of the fleet's traffic behind {@link #offeredRate}, 0.01 to 1. */
  double offeredShare() {
    return shareOf(this::countsAsOffered);
  }

  private boolean countsAsOffered(ProxyState proxy) {
    return proxy.isConnected()
        || clock.since(proxy.disconnectedAt()) < DISCONNECTED_RETENTION_DECI_MILLIS;
  }

  /** The share of the fleet's proxies stands for that of its traffic. */
  private double shareOf(Predicate<ProxyState> counted) {
    double count = proxies.all().stream().filter(counted).count();
    if (settings.fleet().instances() == 1) {
      return 1;
    }
    return Math.max(MIN_SHARE, Math.min(1, count / settings.fleet().proxies()));
  }
}
