package stonespring.recording;

import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;

/**
 * The settings in a recording's head in the form that files contain. The names of the components
 * and their order are part of the file format and stay the same when other identifiers in the code
 * are renamed. The limit on the notification delay of list changes is not stored: recordings are of
 * instances that have none.
 */
record StoredSettings(
    int assigners,
    int zones,
    List<StoredClass> opTypes,
    boolean listOnRequest,
    StoredLevelKind levelKind,
    int backlogLines,
    int messageHead,
    int messagesMost,
    long messagesOver,
    double linesPerSecond,
    long emptyLimit,
    int standingLines,
    int proxies,
    long sumsEvery,
    boolean slices,
    double crossZonePrice,
    long coldTime,
    double coldShare,
    double fallMultiple,
    double worstTypeWeight,
    boolean droppedStayOpen,
    int shunAfter,
    boolean holdingsUnknown) {

  /**
   * The retry safety of a request class in files; constants correspond to {@link RetrySafety} by
   * order.
   */
  enum StoredRepeat {
    RETRYABLE,
    DEDUPLICATED,
    ONCE_ONLY
  }

  /**
   * The kind of admission limits in files; constants correspond to {@link AdmissionLimitKind} by
   * order.
   */
  enum StoredLevelKind {
    NONE,
    SHARE,
    RATE
  }

  /** The properties of a request class that the settings contain; the latency is in DeciMillis. */
  record StoredClass(StoredRepeat repeat, long targetLatency, double benefit) {}

  static StoredSettings of(Settings settings) {
    return new StoredSettings(
        settings.fleet().instances(),
        settings.fleet().zones(),
        settings.requestClasses().stream().map(StoredSettings::stored).toList(),
        settings.endpointList().watchRequired(),
        StoredLevelKind.values()[settings.admissionLimitKind().ordinal()],
        settings.channel().maxBacklogEntries(),
        settings.channel().messageOverheadEntries(),
        settings.channel().maxMessagesPerProxy(),
        settings.channel().messageWindow(),
        settings.channel().entriesPerSecond(),
        settings.routing().maxTimeWithoutEndpoint(),
        settings.routing().bootstrapRouteCount(),
        settings.fleet().proxies(),
        settings.reportInterval(),
        settings.fleet().sharded(),
        settings.routing().crossZonePenalty(),
        settings.slowStart().window(),
        settings.slowStart().initialFraction(),
        settings.slowStart().overloadMultiple(),
        settings.routing().worstClassWeight(),
        settings.endpointList().removedEndpointsKeepServing(),
        settings.routing().ejectAfterConsecutiveFailures(),
        settings.channel().proxyTablesUnknown());
  }

  private static StoredClass stored(RequestClass requestClass) {
    return new StoredClass(
        StoredRepeat.values()[requestClass.retrySafety().ordinal()],
        requestClass.latencyObjective(),
        requestClass.priorityWeight());
  }

  private static RequestClass restored(StoredClass stored) {
    return new RequestClass(
        RetrySafety.values()[stored.repeat().ordinal()], stored.targetLatency(), stored.benefit());
  }

  Settings toSettings() {
    return new Settings(
        new Settings.Fleet(assigners, zones, proxies, slices),
        opTypes.stream().map(StoredSettings::restored).toList(),
        new Settings.EndpointListRules(
            listOnRequest,
            droppedStayOpen,
            Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY),
        AdmissionLimitKind.values()[levelKind.ordinal()],
        new Settings.ChannelLimits(
            backlogLines, messageHead, messagesMost, messagesOver, linesPerSecond, holdingsUnknown),
        new Settings.RoutingRules(
            emptyLimit, standingLines, crossZonePrice, worstTypeWeight, shunAfter),
        new Settings.SlowStart(coldTime, coldShare, fallMultiple),
        sumsEvery);
  }
}
