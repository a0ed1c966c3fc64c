package stonespring.decision;

import java.util.function.Predicate;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

/** Estimates the traffic of this instance's proxies, and its share of the whole fleet's traffic. */
final class TrafficEstimator {
  /**
   * Time after which a newly connected proxy's traffic shows in reports: half a report interval
   * plus the usual delay of reports.
   */
  private static final long CONNECT_TO_REPORT_DECI_MILLIS = DeciMillis.SECOND;

  /**
   * How long a disconnected proxy's traffic still counts as offered. When a zone is lost, the
   * endpoint list shows by then which endpoints were lost with it.
   */
  private static final long DISCONNECTED_RETENTION_DECI_MILLIS = 8 * DeciMillis.SECOND;

  /** Lower bound of shares of the fleet's traffic, by which rates are divided. */
  private static final double MIN_SHARE = 0.01;

  private final Settings settings;
  private final EngineClock clock;
  private final ProxyRegistry proxies;
  private boolean anyProxyInReports;
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
   * Updates the share of the fleet's traffic that reports cover, at the start of a round. The share
   * is smoothed because a newly connected proxy shows in reports late and gradually: when proxies
   * that all connected within a second were counted in full at once, endpoints appeared slower than
   * they were and admission limits were lowered as a result.
   */
  void startRound() {
    Predicate<ProxyState> isInReports =
        proxy ->
            proxy.isConnected() && clock.since(proxy.connectedAt()) > CONNECT_TO_REPORT_DECI_MILLIS;
    anyProxyInReports |= proxies.all().stream().anyMatch(isInReports);
    if (anyProxyInReports) {
      double retention = ExponentialAverage.retentionOver(settings.reportInterval());
      reportedShare = ExponentialAverage.update(reportedShare, shareOf(isInReports), retention);
    }
  }

  /**
   * Updates the rates. They are summed from the latest reports instead of averages: summed over all
   * proxies, the latest rates are steady enough, and they show a surge seconds earlier.
   */
  void updateRates() {
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

  /** Whether any proxy has been connected for long enough to show in reports. */
  boolean hasProxyInReports() {
    return anyProxyInReports;
  }

  /** Requests per second that the connected proxies receive. */
  double connectedRate() {
    return connectedRate;
  }

  /**
   * Requests per second of the connected proxies and of those that disconnected recently. Clients
   * of a disconnected proxy may move to other proxies, and endpoints that were lost together with
   * the proxy stay listed for some time.
   */
  double offeredRate() {
    return offeredRate;
  }

  /** The connected proxies' share of the fleet's traffic, 0.01 to 1. */
  double share() {
    return share;
  }

  /** The share of the fleet's traffic that reports cover, 0.01 to 1. */
  double reportedShare() {
    return Double.isNaN(reportedShare) ? share : reportedShare;
  }

  /** The share of the fleet's traffic that {@link #offeredRate} covers, 0.01 to 1. */
  double offeredShare() {
    return shareOf(this::countsAsOffered);
  }

  private boolean countsAsOffered(ProxyState proxy) {
    return proxy.isConnected()
        || clock.since(proxy.disconnectedAt()) < DISCONNECTED_RETENTION_DECI_MILLIS;
  }

  /**
   * Estimates a share of the fleet's traffic by the share of its proxies; 1 if there is a single
   * instance.
   */
  private double shareOf(Predicate<ProxyState> counted) {
    double count = proxies.all().stream().filter(counted).count();
    if (settings.fleet().instances() == 1) {
      return 1;
    }
    return Math.max(MIN_SHARE, Math.min(1, count / settings.fleet().proxies()));
  }
}
