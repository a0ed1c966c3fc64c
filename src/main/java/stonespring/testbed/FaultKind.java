package stonespring.testbed;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The kinds of fault that a scenario's script may name, in the order in which they are listed. */
public enum FaultKind {
  /** Endpoints die and come back warming up. */
  CRASH,
  /** Endpoints accept requests and answer none, then die. */
  SILENT,
  /** Endpoints fail a fraction of the requests at once. */
  FAST_ERRORS,
  /** Endpoints pause again and again. */
  PAUSES,
  /** What proxies send to instances arrives late. */
  LATE_REPORTS,
  /** All endpoints of a zone die. */
  ZONE_LOSS,
  /** Nothing passes between a zone and the others. */
  ZONE_CUT,
  /** Endpoints drain and restart in batches. */
  DEPLOY,
  /** Endpoints drain and leave for good. */
  SHRINK,
  /** New endpoints start. */
  GROWTH,
  /** Clients send a multiple of their usual rate. */
  SURGE,
  /** Proxies stop and start again. */
  PROXY_CRASH,
  /** Instances are killed and start again. */
  ASSIGNER_CRASH,
  /** Links towards proxies carry few bytes a millisecond. */
  SLOW_CHANNEL,
  /** Connections between proxies and instances end once. */
  RECONNECT,
  /** Proxies stand still again and again. */
  PROXY_STALL,
  /** All links freeze again and again. */
  ASSIGNER_STALL,
  /** Endpoints report a multiple of their utilization. */
  FALSE_REPORTS,
  /** Opening a connection to endpoints costs a multiple. */
  SLOW_HANDSHAKES,
  /** Endpoints fail every request of one class. */
  OP_TYPE_FAILS,
  /** Endpoints fail all requests or none, by chance. */
  FLAPPING,
  /** Clients give up after a fraction of the request timeout. */
  IMPATIENCE,
  /** Endpoints drain and restart, a new draw each interval. */
  TAKEN_IN_WAVES,
  /** The registry leaves out endpoints that run. */
  WRONG_LIST,
  /** The registry answers nothing. */
  REGISTRY_DEAD,
  /** Connections end after a number of bytes of the snapshot. */
  CUT_IN_SNAPSHOT,
  /** Links pass one byte at a time. */
  BYTE_BY_BYTE,
  /** One direction of the update connections ends. */
  HALF_CLOSE,
  /** Endpoints execute requests and drop a fraction of the answers. */
  LOST_ANSWERS;

  /** The kind's name in a script. */
  public String scriptName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The names of all kinds, in order. */
  static List<String> scriptNames() {
    return Arrays.stream(values()).map(FaultKind::scriptName).toList();
  }

  /**
   * Returns the kind with a name in a script.
   *
   * @throws IllegalArgumentException where there is none
   */
  static FaultKind of(String scriptName) {
    return valueOf(scriptName.toUpperCase(Locale.ROOT));
  }
}
