package stonespring.decision;

import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;

/**
 * Builds the settings of a small fleet in two zones, with defaults for what a test does not set.
 */
final class FleetSettings {
  private static final long SECOND = DeciMillis.SECOND;

  private int instances = 1;
  private int proxies = 8;
  private boolean sharded;
  private AdmissionLimitKind limitKind = AdmissionLimitKind.FRACTION;
  private int maxMessages = 30;
  private int bootstrapRoutes = 4;
  private boolean watchRequired;
  private long maxNotificationDelay = Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY;
  private int maxBacklog = 3000;
  private double entriesPerSecond = 2500;
  private boolean removedKeepServing;
  private int ejectAfter = 3;
  private long reportInterval = SECOND;

  FleetSettings instances(int instances) {
    this.instances = instances;
    return this;
  }

  FleetSettings proxies(int proxies) {
    this.proxies = proxies;
    return this;
  }

  FleetSettings sharded() {
    this.sharded = true;
    return this;
  }

  FleetSettings limitKind(AdmissionLimitKind limitKind) {
    this.limitKind = limitKind;
    return this;
  }

  /** Sets how many messages one proxy may get in 10 s; 0 for no limit. */
  FleetSettings maxMessages(int maxMessages) {
    this.maxMessages = maxMessages;
    return this;
  }

  FleetSettings bootstrapRoutes(int bootstrapRoutes) {
    this.bootstrapRoutes = bootstrapRoutes;
    return this;
  }

  FleetSettings watchRequired() {
    this.watchRequired = true;
    return this;
  }

  /** Sets the limit on the delay of notifications of list changes, in DeciMillis. */
  FleetSettings maxNotificationDelay(long maxNotificationDelay) {
    this.maxNotificationDelay = maxNotificationDelay;
    return this;
  }

  FleetSettings channel(int maxBacklog, double entriesPerSecond) {
    this.maxBacklog = maxBacklog;
    this.entriesPerSecond = entriesPerSecond;
    return this;
  }

  FleetSettings removedKeepServing(boolean removedKeepServing) {
    this.removedKeepServing = removedKeepServing;
    return this;
  }

  FleetSettings ejectAfter(int consecutiveFailures) {
    this.ejectAfter = consecutiveFailures;
    return this;
  }

  FleetSettings reportInterval(long reportInterval) {
    this.reportInterval = reportInterval;
    return this;
  }

  Settings build() {
    return new Settings(
        new Settings.Fleet(instances, 2, proxies, sharded),
        List.of(
            new RequestClass(RetrySafety.IDEMPOTENT, SECOND / 2, 3),
            new RequestClass(RetrySafety.IDEMPOTENCY_KEYED, SECOND, 3),
            new RequestClass(RetrySafety.NON_IDEMPOTENT, SECOND, 2)),
        new Settings.EndpointListRules(watchRequired, removedKeepServing, maxNotificationDelay),
        limitKind,
        new Settings.ChannelLimits(
            maxBacklog, 10, maxMessages, 10 * SECOND, entriesPerSecond, false),
        new Settings.RoutingRules(5 * SECOND, bootstrapRoutes, 0.1, 0.1, ejectAfter),
        new Settings.SlowStart(10 * SECOND, 0.2, 3),
        reportInterval);
  }
}
