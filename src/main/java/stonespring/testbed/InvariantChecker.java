package stonespring.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the evidence of a scenario against the five invariants of the product ("rules") and
 * computes the service that clients received. For each non-idempotent request it also checks that
 * the answer agrees with the number of times the request took effect. The checker shares no code
 * with the code under test. An object serves for one check, on one thread.
 */
public final class InvariantChecker {
  /**
   * The limits of the rules.
   *
   * @param maxTimeWithoutEndpointMillis how long a connected proxy may lack an endpoint while a
   *     warm one is listed
   * @param drainGraceMillis how long proxies may still send requests to a draining endpoint
   * @param slowStartMillis how long an endpoint warms up after its start
   * @param maxMessagesPerProxy maximum number of messages in a message window; 0 for no limit
   * @param messageWindowMillis length of the message window
   */
  public record Limits(
      double maxTimeWithoutEndpointMillis,
      double drainGraceMillis,
      double slowStartMillis,
      int maxMessagesPerProxy,
      double messageWindowMillis) {}

  /** The properties of a request class that the service figure depends on. */
  public record RequestClassPolicy(
      double latencyObjectiveMillis, double priorityWeight, boolean idempotent) {}

  /**
   * The result of a check.
   *
   * @param violations one line for each reported violation; empty if all rules were kept
   * @param service the priority weight of requests answered within their latency objective, divided
   *     by the priority weight of all requests
   * @param worstWindow the lowest service of any window of 10 s
   * @param worstClass the lowest service of any request class
   * @param worstClassName the request class of {@code worstClass}
   * @param counts event counts by their name in the report
   */
  public record Verdict(
      List<String> violations,
      double service,
      double worstWindow,
      double worstClass,
      String worstClassName,
      Map<String, Integer> counts) {}

  /** Length of the sliding window of {@link Verdict#worstWindow}. */
  private static final double WINDOW_MILLIS = 10_000;

  /** Further violations of the same rule are summarized in one line. */
  private static final int MAX_LISTED_VIOLATIONS_PER_RULE = 5;

  // Rule numbers as printed in reports.
  private static final int TIME_WITHOUT_ENDPOINT_RULE = 1;
  private static final int NO_DUPLICATE_EFFECTS_RULE = 2;
  private static final int DRAINING_RULE = 3;
  private static final int SLOW_START_RULE = 4;
  private static final int CHANNEL_LIMITS_RULE = 5;

  private final Limits limits;
  private final Map<String, RequestClassPolicy> requestClasses;
  private final Evidence evidence;
  private final InvariantCheckerSessions sessions;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final Map<Integer, Integer> violationsByRule = new HashMap<>();

  /**
   * Creates a checker.
   *
   * @param requestClasses by name, in the order of the settings
   * @param evidence must be complete: observations added later may be ignored
   */
  public InvariantChecker(
      Limits limits, Map<String, RequestClassPolicy> requestClasses, Evidence evidence) {
    this.limits = limits;
    this.requestClasses = requestClasses;
    this.evidence = evidence;
    this.sessions = new InvariantCheckerSessions(evidence);
  }

  /**
   * Checks all rules.
   *
   * @param endMillis end of the scenario on the evidence's clock; windows end at or before it
   */
  public Verdict check(double endMillis) {
    checkTimeWithoutEndpoint();
    checkNoDuplicateEffects();
    checkAnswersMatchEffects();
    checkDraining();
    checkSlowStart();
    checkBacklog();
    checkMessageRate();
    List<Evidence.Outcome> outcomes = evidence.observationsOf(Evidence.Outcome.class);
    addCounts(outcomes);
    double worstClass = 1;
    String worstClassName = "";
    for (String requestClass : requestClasses.keySet()) {
      double service =
          service(outcomes.stream().filter(o -> o.requestClass().equals(requestClass)).toList());
      if (service < worstClass || worstClassName.isEmpty()) {
        worstClass = service;
        worstClassName = requestClass;
      }
    }
    return new Verdict(
        violations,
        service(outcomes),
        worstWindow(outcomes, endMillis),
        worstClass,
        worstClassName,
        counts);
  }

  private void reportViolation(int rule, String description) {
    int violationCount = violationsByRule.merge(rule, 1, Integer::sum);
    if (violationCount <= MAX_LISTED_VIOLATIONS_PER_RULE) {
      violations.add("rule " + rule + ": " + description);
    } else if (violationCount == MAX_LISTED_VIOLATIONS_PER_RULE + 1) {
      violations.add("rule " + rule + ": further violations are not listed");
    }
  }

  private double service(List<Evidence.Outcome> outcomes) {
    double requestedWeight = 0;
    double weightInTime = 0;
    for (Evidence.Outcome outcome : outcomes) {
      RequestClassPolicy policy = requestClasses.get(outcome.requestClass());
      requestedWeight += policy.priorityWeight();
      if (outcome.status() == 200 && outcome.durationMillis() <= policy.latencyObjectiveMillis()) {
        weightInTime += policy.priorityWeight();
      }
    }
    return requestedWeight == 0 ? 1 : weightInTime / requestedWeight;
  }

  private double worstWindow(List<Evidence.Outcome> outcomes, double endMillis) {
    double worst = 1;
    for (double startMillis = 0;
        startMillis + WINDOW_MILLIS <= endMillis;
        startMillis += WINDOW_MILLIS / 10) {
      double windowStartMillis = startMillis;
      double windowEndMillis = windowStartMillis + WINDOW_MILLIS;
      List<Evidence.Outcome> inWindow =
          outcomes.stream()
              .filter(
                  o ->
                      o.startedAtMillis() >= windowStartMillis
                          && o.startedAtMillis() < windowEndMillis)
              .toList();
      worst = Math.min(worst, service(inWindow));
    }
    return worst;
  }

  private void addCounts(List<Evidence.Outcome> outcomes) {
    counts.put("ops", outcomes.size());
    for (Evidence.Outcome outcome : outcomes) {
      if (outcome.status() == 200) {
        incrementCount("acked");
      } else {
        incrementCount(outcome.notExecuted() ? "rejected" : "aborted");
        incrementCount("failure reason " + (outcome.reason().isEmpty() ? "?" : outcome.reason()));
      }
    }
    long furtherAttempts =
        evidence.observationsOf(Evidence.Arrival.class).stream()
            .filter(a -> a.attempt() > 1)
            .count();
    counts.put("further attempts", (int) furtherAttempts);
    counts.put("messages", evidence.observationsOf(Evidence.Commit.class).size());
    long connects =
        evidence.observationsOf(Evidence.Session.class).stream()
            .filter(Evidence.Session::connected)
            .count();
    counts.put("joins", (int) connects);
  }

  private void incrementCount(String name) {
    counts.merge(name, 1, Integer::sum);
  }

  /** Returns whether an endpoint past its slow start was listed as ready at the given time. */
  private boolean isWarmEndpointListed(double atMillis) {
    Map<String, Evidence.Listed> listed = new HashMap<>();
    for (Evidence.Listed entry : evidence.observationsOf(Evidence.Listed.class)) {
      if (entry.atMillis() > atMillis) {
        break;
      }
      listed.put(entry.endpoint(), entry);
    }
    return listed.values().stream()
        .anyMatch(
            entry ->
                entry.state().equals("ready")
                    && atMillis - entry.startedAtMillis() >= limits.slowStartMillis());
  }

  /**
   * Rule 1: while a warm endpoint is listed, a connected proxy is without an endpoint only for a
   * limited time.
   */
  private void checkTimeWithoutEndpoint() {
    Map<String, Double> withoutEndpointSinceMillis = new HashMap<>();
    List<Evidence.Outcome> outcomes =
        new ArrayList<>(evidence.observationsOf(Evidence.Outcome.class));
    outcomes.sort(Comparator.comparingDouble(Evidence.Outcome::endedAtMillis));
    for (Evidence.Outcome outcome : outcomes) {
      String proxyAndClass = outcome.proxy() + ", request class " + outcome.requestClass();
      double endedAtMillis = outcome.endedAtMillis();
      double connectedSinceMillis = sessions.connectedSince(outcome.proxy(), endedAtMillis);
      if (!outcome.reason().equals("no-task")
          || Double.isNaN(connectedSinceMillis)
          || !isWarmEndpointListed(endedAtMillis)) {
        withoutEndpointSinceMillis.remove(proxyAndClass);
        continue;
      }
      double sinceMillis =
          Math.max(
              connectedSinceMillis,
              withoutEndpointSinceMillis.merge(proxyAndClass, endedAtMillis, Math::min));
      if (endedAtMillis - sinceMillis > limits.maxTimeWithoutEndpointMillis()) {
        reportViolation(
            TIME_WITHOUT_ENDPOINT_RULE,
            String.format(
                "at %.0f ms proxy %s: no endpoint for %.0f ms while a warm endpoint was listed",
                endedAtMillis, proxyAndClass, endedAtMillis - sinceMillis));
      }
    }
  }

  private Map<String, List<Evidence.Effect>> nonIdempotentEffects() {
    Map<String, List<Evidence.Effect>> effects = new HashMap<>();
    for (Evidence.Effect effect : evidence.observationsOf(Evidence.Effect.class)) {
      if (!requestClasses.get(effect.requestClass()).idempotent()) {
        effects.computeIfAbsent(effect.requestId(), id -> new ArrayList<>()).add(effect);
      }
    }
    return effects;
  }

  /** Rule 2: a non-idempotent request takes effect at most once. */
  private void checkNoDuplicateEffects() {
    nonIdempotentEffects()
        .forEach(
            (id, effects) -> {
              if (effects.size() > 1) {
                Evidence.Effect last = effects.get(effects.size() - 1);
                reportViolation(
                    NO_DUPLICATE_EFFECTS_RULE,
                    String.format(
                        "non-idempotent request %s took effect %d times, last at %.0f ms at endpoint %s",
                        id, effects.size(), last.atMillis(), last.endpoint()));
              }
            });
  }

  /**
   * Rule 2: a non-idempotent request took effect exactly once if its answer reports success, and
   * not at all if its answer states that it was not executed.
   */
  private void checkAnswersMatchEffects() {
    Map<String, List<Evidence.Effect>> effectsById = nonIdempotentEffects();
    for (Evidence.Outcome outcome : evidence.observationsOf(Evidence.Outcome.class)) {
      if (requestClasses.get(outcome.requestClass()).idempotent()) {
        continue;
      }
      int effects = effectsById.getOrDefault(outcome.requestId(), List.of()).size();
      boolean succeeded = outcome.status() == 200;
      if ((succeeded && effects != 1) || (outcome.notExecuted() && effects != 0)) {
        reportViolation(
            NO_DUPLICATE_EFFECTS_RULE,
            String.format(
                "non-idempotent request %s was answered with status %d%s and took effect %d times",
                outcome.requestId(),
                outcome.status(),
                outcome.notExecuted() ? " (not executed)" : "",
                effects));
      }
      incrementCount("non-idempotent, " + nonIdempotentResult(outcome, effects));
    }
  }

  private static String nonIdempotentResult(Evidence.Outcome outcome, int effects) {
    if (outcome.status() == 200) {
      return "executed once";
    }
    if (outcome.notExecuted()) {
      return "reported as not executed";
    }
    return effects == 0
        ? "unknown to the client, not executed"
        : "unknown to the client, executed once";
  }

  /**
   * Returns for each endpoint the times at which the registry began to list it as draining or gone
   * (true), or as ready (false).
   */
  private Map<String, TreeMap<Double, Boolean>> leavingChanges() {
    Map<String, TreeMap<Double, Boolean>> leavingByEndpoint = new HashMap<>();
    for (Evidence.Listed entry : evidence.observationsOf(Evidence.Listed.class)) {
      TreeMap<Double, Boolean> changes =
          leavingByEndpoint.computeIfAbsent(entry.endpoint(), endpoint -> new TreeMap<>());
      boolean isLeaving = !entry.state().equals("ready");
      if (changes.isEmpty() || changes.lastEntry().getValue() != isLeaving) {
        changes.put(entry.atMillis(), isLeaving);
      }
    }
    return leavingByEndpoint;
  }

  /**
   * Rule 3: a connected proxy stops sending requests to an endpoint within the grace period after
   * the endpoint was listed as draining or gone.
   */
  private void checkDraining() {
    Map<String, TreeMap<Double, Boolean>> leavingByEndpoint = leavingChanges();
    Set<String> reported = new HashSet<>();
    for (Evidence.Arrival arrival : evidence.observationsOf(Evidence.Arrival.class)) {
      Map.Entry<Double, Boolean> change =
          leavingByEndpoint
              .getOrDefault(arrival.endpoint(), new TreeMap<>())
              .floorEntry(arrival.atMillis());
      double connectedSinceMillis = sessions.connectedSince(arrival.proxy(), arrival.atMillis());
      if (change == null || !change.getValue() || Double.isNaN(connectedSinceMillis)) {
        continue;
      }
      double delayMillis = arrival.atMillis() - Math.max(change.getKey(), connectedSinceMillis);
      if (delayMillis > limits.drainGraceMillis()
          && reported.add(arrival.proxy() + arrival.endpoint())) {
        reportViolation(
            DRAINING_RULE,
            String.format(
                "at %.0f ms proxy %s sent a request to endpoint %s, %.0f ms after the endpoint was listed"
                    + " as draining or gone and the proxy had connected",
                arrival.atMillis(), arrival.proxy(), arrival.endpoint(), delayMillis));
      }
    }
  }

  /** Rule 4: no warming-up endpoint receives so much work that it crashes. */
  private void checkSlowStart() {
    for (Evidence.Overloaded overloaded : evidence.observationsOf(Evidence.Overloaded.class)) {
      reportViolation(
          SLOW_START_RULE,
          String.format(
              "at %.0f ms warming-up endpoint %s received %.1f times its capacity and crashed",
              overloaded.atMillis(), overloaded.endpoint(), overloaded.capacityMultiple()));
    }
  }

  /** Rule 5: the channel backlog of an instance stays within its limit. */
  private void checkBacklog() {
    int highest = 0;
    for (Evidence.ChannelBacklog channel : evidence.observationsOf(Evidence.ChannelBacklog.class)) {
      highest = Math.max(highest, channel.backlog());
      if (channel.backlog() > channel.limit()) {
        reportViolation(
            CHANNEL_LIMITS_RULE,
            String.format(
                "at %.0f ms the channel backlog was %d entries, over its limit of %d",
                channel.atMillis(), channel.backlog(), channel.limit()));
      }
    }
    counts.put("most entries waiting", highest);
  }

  /**
   * Rule 5: the number of messages to a proxy in any message window is limited. Messages sent
   * before the proxy's latest connect are not counted.
   */
  private void checkMessageRate() {
    Map<String, List<Double>> commitTimesByProxy = new HashMap<>();
    int highestMessageCount = 0;
    for (Evidence.Commit commit : evidence.observationsOf(Evidence.Commit.class)) {
      List<Double> commitTimesMillis =
          commitTimesByProxy.computeIfAbsent(commit.proxy(), p -> new ArrayList<>());
      commitTimesMillis.add(commit.atMillis());
      double connectedSinceMillis = sessions.connectedSince(commit.proxy(), commit.atMillis());
      commitTimesMillis.removeIf(
          at -> commit.atMillis() - at > limits.messageWindowMillis() || at < connectedSinceMillis);
      highestMessageCount = Math.max(highestMessageCount, commitTimesMillis.size());
      if (limits.maxMessagesPerProxy() > 0
          && commitTimesMillis.size() > limits.maxMessagesPerProxy()) {
        reportViolation(
            CHANNEL_LIMITS_RULE,
            String.format(
                "at %.0f ms proxy %s had received %d messages within %.0f ms",
                commit.atMillis(),
                commit.proxy(),
                commitTimesMillis.size(),
                limits.messageWindowMillis()));
      }
    }
    counts.put("most messages to one proxy", highestMessageCount);
  }
}
