package stonespring.testbed;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The kinds of fault that a scenario script may name. Scripts use the constants' names in lower
 * case; error messages list them in this order.
 */
public enum FaultKind {
  /** Endpoints crash and restart with a slow start. */
  CRASH,
  /** Endpoints accept requests without answering them, then crash and restart. */
  SILENT,
  /** Endpoints answer a fraction of the requests with an immediate error. */
  FAST_ERRORS,
  /** Endpoints pause repeatedly. */
  PAUSES,
  /** Everything that proxies send to instances is delayed. */
  LATE_REPORTS,
  /** All endpoints of a zone crash and restart with a slow start. */
  ZONE_LOSS,
  /** One zone is partitioned from the others. */
  ZONE_CUT,
  /** Endpoints drain and restart in batches: a rolling restart. */
  DEPLOY,
  /** Endpoints drain and are removed for good. */
  SHRINK,
  /** New endpoints start. */
  GROWTH,
  /** Clients send a multiple of their usual request rate. */
  SURGE,
  /** Proxies stop and start again. */
  PROXY_CRASH,
  /** Instances are killed and start again. */
  ASSIGNER_CRASH,
  /** Links carry only a limited number of bytes per millisecond towards proxies. */
  SLOW_CHANNEL,
  /** All connections between proxies and instances are closed once. */
  RECONNECT,
  /** Proxies stall repeatedly: they read nothing and handle no requests. */
  PROXY_STALL,
  /** All links between proxies and instances freeze repeatedly. */
  ASSIGNER_STALL,
  /** Endpoints report a multiple of their actual utilization. */
  FALSE_REPORTS,
  /** New connections take a multiple of their usual core time at endpoints. */
  SLOW_HANDSHAKES,
  /** Endpoints fail every request of one request class. */
  OP_TYPE_FAILS,
  /** Endpoints switch at random between failing all requests and failing none. */
  FLAPPING,
  /** Clients give requests up after a fraction of the request timeout. */
  IMPATIENCE,
  /** Endpoints drain and restart; at each interval, other endpoints are drawn. */
  TAKEN_IN_WAVES,
  /** The registry leaves running endpoints out of the endpoint list. */
  WRONG_LIST,
  /** The registry closes connections and answers no requests. */
  REGISTRY_DEAD,
  /** Connections are closed after a number of bytes of the snapshot. */
  CUT_IN_SNAPSHOT,
  /** Links forward every byte in a write of its own. */
  BYTE_BY_BYTE,
  /** Update connections are half-closed: the direction towards the proxy ends. */
  HALF_CLOSE,
  /** Endpoints execute requests but lose a fraction of the responses. */
  LOST_ANSWERS;

  /** The kind's name in scenario scripts. */
  public String scriptName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The script names of all kinds, in the order of the constants. */
  static List<String> scriptNames() {
    return Arrays.stream(values()).map(FaultKind::scriptName).toList();
  }

  /**
   * Returns the kind with a script name.
   *
   * @throws IllegalArgumentException if no kind has the name
   */
  static FaultKind of(String scriptName) {
    return valueOf(scriptName.toUpperCase(Locale.ROOT));
  }
}
