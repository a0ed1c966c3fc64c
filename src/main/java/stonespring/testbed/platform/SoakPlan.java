package stonespring.testbed.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What a run of the soak test plays, drawn from a seed. Immutable.
 *
 * @param seed the seed, which also selects targets and delays during the run
 * @param proxies the number of proxies
 * @param endpoints the number of endpoints at the start
 * @param lifetimes the processes of the instance that the run starts, one after the other
 */
record SoakPlan(long seed, int proxies, int endpoints, List<Lifetime> lifetimes) {
  private static final int MIN_PROXIES = 8;
  private static final int MAX_PROXIES = 32;
  private static final int MIN_ENDPOINTS = 6;
  private static final int MAX_ENDPOINTS = 20;
  private static final int MIN_DISTURBANCES = 2;
  private static final int MAX_DISTURBANCES = 5;

  /** How a process of the instance ends. */
  enum Ending {
    /** One SIGTERM. */
    TERMINATE,
    /** Two SIGTERM within milliseconds. */
    TERMINATE_TWICE,
    /** SIGHUP within milliseconds before SIGTERM. */
    RELOAD_THEN_TERMINATE,
    /** SIGHUP within milliseconds after SIGTERM. */
    TERMINATE_THEN_RELOAD,
    /** SIGTERM while the instance changes to another discovery server. */
    MOVE_THEN_TERMINATE,
    /** Half of the proxies close their connections at the instant of the SIGTERM. */
    CLOSE_AND_TERMINATE,
    /** SIGKILL without notice. */
    KILL
  }

  /** A fault or a change while the instance serves. */
  enum Disturbance {
    /** Endpoints start to drain, leave and join. */
    CHANGE_LIST,
    /** Several SIGHUP within milliseconds, with an invalid configuration in between. */
    RELOAD_SERIES,
    /** A new configuration names another discovery server. */
    MOVE_DISCOVERY,
    /** The discovery server closes its connections. */
    RESET_DISCOVERY,
    /** The discovery server answers 503 for a while. */
    FAIL_DISCOVERY,
    /** Connections that send what can't be read, or half a message. */
    BAD_CONNECTIONS,
    /** Hundreds of connections that never join. */
    CROWD,
    /** Proxies send what can't be read, and connect again. */
    SPOIL_PROXIES,
    /** Proxies connect again before their old connection ends. */
    REPLACE_CONNECTIONS,
    /** A proxy stops reading. */
    STOP_READING,
    /** All proxies close their connections and connect again. */
    RECONNECT_ALL
  }

  /** One process of the instance. */
  record Lifetime(List<Disturbance> disturbances, Ending ending) {}

  /** Draws the plan of a seed. */
  static SoakPlan draw(long seed, int lifetimeCount) {
    Random random = new Random(seed);
    int proxies = MIN_PROXIES + random.nextInt(MAX_PROXIES - MIN_PROXIES + 1);
    int endpoints = MIN_ENDPOINTS + random.nextInt(MAX_ENDPOINTS - MIN_ENDPOINTS + 1);
    List<Lifetime> lifetimes = new ArrayList<>();
    for (int i = 0; i < lifetimeCount; i++) {
      lifetimes.add(drawLifetime(random));
    }
    return new SoakPlan(seed, proxies, endpoints, List.copyOf(lifetimes));
  }

  private static Lifetime drawLifetime(Random random) {
    int count = MIN_DISTURBANCES + random.nextInt(MAX_DISTURBANCES - MIN_DISTURBANCES + 1);
    List<Disturbance> disturbances = new ArrayList<>();
    disturbances.add(Disturbance.CHANGE_LIST);
    while (disturbances.size() < count) {
      disturbances.add(drawFrom(Disturbance.values(), random));
    }
    return new Lifetime(List.copyOf(disturbances), drawFrom(Ending.values(), random));
  }

  private static <T> T drawFrom(T[] values, Random random) {
    return values[random.nextInt(values.length)];
  }
}
