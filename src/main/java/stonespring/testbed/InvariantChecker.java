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
 * Judges a scenario by its evidence alone: the five rules, whether every non-idempotent request was
 * executed once or said not to be, and the service that clients had. It shares no code with what it
 * judges. One use an object, on one thread.
 */
public final class InvariantChecker {
  /**
   * The limits of the rules, in milliseconds where they are times.
   *
   * @param drainGraceMillis how long a draining endpoint may still be sent to
   * @param maxMessagesPerProxy in a message window; 0 for no limit
   */
  public record Limits(
      double maxTimeWithoutEndpointMillis,
      double drainGraceMillis,
      double slowStartMillis,
      int maxMessagesPerProxy,
      double messageWindowMillis) {}

  /** A request class as service counts it. */
  public record RequestClassPolicy(
      double latencyObjectiveMillis, double priorityWeight, boolean idempotent) {}

  /**
   * What was found.
   *
   * @param violations a line each; empty where all rules were kept
   * @param service the priority weight answered in time over that asked for
   * @param worstWindow the least service of any window
   * @param worstClass the least service of any request class
   * @param counts what was counted on the way, by its name in the report
   */
  public record Verdict(
      List<String> violations,
      double service,
      double worstWindow,
      double worstClass,
      String worstClassName,
      Map<String, Integer> counts) {}

  private static final double WINDOW_MILLIS = 10_000;
  private static final int MAX_SHOWN_PER_RULE = 5;

  private static final int TIME_WITHOUT_ENDPOINT = 1;
  private static final int NO_DUPLICATE_EFFECTS = 2;
  private static final int DRAINING = 3;
  private static final int SLOW_START = 4;
  private static final int CHANNEL_LIMITS = 5;

  private final Limits limits;
  private final Map<String, RequestClassPolicy> requestClasses;
  private final Evidence evidence;
  private final InvariantCheckerSessions sessions;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final Map<Integer, Integer> violationsByRule = new HashMap<>();

  /**
   * Prepares to judge evidence that is complete.
   *
   * @param requestClasses by name, in the order of the settings
   */
  public InvariantChecker(
      Limits limits, Map<String, RequestClassPolicy> requestClasses, Evidence evidence) {
    this.limits = limits;
    this.requestClasses = requestClasses;
    this.evidence = evidence;
    this.sessions = new InvariantCheckerSessions(evidence);
  }

  /** Judges all up to a time on the evidence's clock. */
  public Verdict judge(double endMillis) {
    checkTimeWithoutEndpoint();
    checkNoDuplicateEffects();
    checkAnswersMatchEffects();
    checkDraining();
    checkSlowStart();
    checkBacklog();
    checkMessageRate();
    List<Evidence.Outcome> outcomes = evidence.observationsOf(Evidence.Outcome.class);
    count(outcomes);
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

  private void violated(int rule, String what) {
    int before = violationsByRule.merge(rule, 1, Integer::sum);
    if (before <= MAX_SHOWN_PER_RULE) {
      violations.add("rule " + rule + ": " + what);
    } else if (before == MAX_SHOWN_PER_RULE + 1) {
      violations.add("rule " + rule + ": and more");
    }
  }

  private double service(List<Evidence.Outcome> outcomes) {
    double asked = 0;
    double answeredInTime = 0;
    for (Evidence.Outcome outcome : outcomes) {
      RequestClassPolicy policy = requestClasses.get(outcome.requestClass());
      asked += policy.priorityWeight();
      if (outcome.status() == 200 && outcome.tookMillis() <= policy.latencyObjectiveMillis()) {
        answeredInTime += policy.priorityWeight();
      }
    }
    return asked == 0 ? 1 : answeredInTime / asked;
  }

  private double worstWindow(List<Evidence.Outcome> outcomes, double endMillis) {
    double worst = 1;
    for (double from = 0; from + WINDOW_MILLIS <= endMillis; from += WINDOW_MILLIS / 10) {
      double start = from;
      double end = start + WINDOW_MILLIS;
      List<Evidence.Outcome> inWindow =
          outcomes.stream().filter(o -> o.askedAt() >= start && o.askedAt() < end).toList();
      worst = Math.min(worst, service(inWindow));
    }
    return worst;
  }

  private void count(List<Evidence.Outcome> outcomes) {
    counts.put("ops", outcomes.size());
    for (Evidence.Outcome outcome : outcomes) {
      if (outcome.status() == 200) {
        increment("acked");
      } else {
        increment(outcome.notExecuted() ? "rejected" : "aborted");
        increment("because of " + (outcome.reason().isEmpty() ? "?" : outcome.reason()));
      }
    }
    long furtherAttempts =
        evidence.observationsOf(Evidence.Arrival.class).stream()
            .filter(a -> a.attempt() > 1)
            .count();
    counts.put("further tries", (int) furtherAttempts);
    counts.put("messages", evidence.observationsOf(Evidence.Commit.class).size());
    long connects =
        evidence.observationsOf(Evidence.Session.class).stream()
            .filter(Evidence.Session::connected)
            .count();
    counts.put("joins", (int) connects);
  }

  private void increment(String name) {
    counts.merge(name, 1, Integer::sum);
  }

  /** Whether an endpoint past its slow start was listed as ready at a time. */
  private boolean warmEndpointListed(double at) {
    Map<String, Evidence.Listed> listed = new HashMap<>();
    for (Evidence.Listed entry : evidence.observationsOf(Evidence.Listed.class)) {
      if (entry.at() > at) {
        break;
      }
      listed.put(entry.endpoint(), entry);
    }
    return listed.values().stream()
        .anyMatch(
            entry ->
                entry.state().equals("ready")
                    && at - entry.startedAt() >= limits.slowStartMillis());
  }

  /** Rule 1: no connected proxy lacks an endpoint for long while a warm one is listed. */
  private void checkTimeWithoutEndpoint() {
    Map<String, Double> withoutSince = new HashMap<>();
    List<Evidence.Outcome> outcomes =
        new ArrayList<>(evidence.observationsOf(Evidence.Outcome.class));
    outcomes.sort(Comparator.comparingDouble(Evidence.Outcome::endedAt));
    for (Evidence.Outcome outcome : outcomes) {
      String who = outcome.proxy() + " for " + outcome.requestClass();
      double endedAt = outcome.endedAt();
      double connected = sessions.connectedSince(outcome.proxy(), endedAt);
      if (!outcome.reason().equals("no-task")
          || Double.isNaN(connected)
          || !warmEndpointListed(endedAt)) {
        withoutSince.remove(who);
        continue;
      }
      double since = Math.max(connected, withoutSince.merge(who, endedAt, Math::min));
      if (endedAt - since > limits.maxTimeWithoutEndpointMillis()) {
        violated(
            TIME_WITHOUT_ENDPOINT,
            String.format(
                "at %.0f ms proxy %s had no task for %.0f ms", endedAt, who, endedAt - since));
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

  /** Rule 2: a request that isn't idempotent takes effect once at most. */
  private void checkNoDuplicateEffects() {
    nonIdempotentEffects()
        .forEach(
            (id, effects) -> {
              if (effects.size() > 1) {
                Evidence.Effect last = effects.get(effects.size() - 1);
                violated(
                    NO_DUPLICATE_EFFECTS,
                    String.format(
                        "op %s took effect %d times, last at %.0f ms at %s",
                        id, effects.size(), last.at(), last.endpoint()));
              }
            });
  }

  /** Rule 2: an answer tells the truth on whether a non-idempotent request took effect. */
  private void checkAnswersMatchEffects() {
    Map<String, List<Evidence.Effect>> effectsById = nonIdempotentEffects();
    for (Evidence.Outcome outcome : evidence.observationsOf(Evidence.Outcome.class)) {
      if (requestClasses.get(outcome.requestClass()).idempotent()) {
        continue;
      }
      int effects = effectsById.getOrDefault(outcome.requestId(), List.of()).size();
      boolean succeeded = outcome.status() == 200;
      if ((succeeded && effects != 1) || (outcome.notExecuted() && effects != 0)) {
        violated(
            NO_DUPLICATE_EFFECTS,
            String.format(
                "op %s was answered %d%s and took effect %d times",
                outcome.requestId(),
                outcome.status(),
                outcome.notExecuted() ? " as not done" : "",
                effects));
      }
      increment("not repeatable, " + nonIdempotentEnding(outcome, effects));
    }
  }

  private static String nonIdempotentEnding(Evidence.Outcome outcome, int effects) {
    if (outcome.status() == 200) {
      return "done once";
    }
    if (outcome.notExecuted()) {
      return "said not to be done";
    }
    return effects == 0 ? "unknown to the client, not done" : "unknown to the client, done once";
  }

  /** By endpoint, from when on it was listed as leaving (true) or as ready again (false). */
  private Map<String, TreeMap<Double, Boolean>> leavingTimes() {
    Map<String, TreeMap<Double, Boolean>> leaving = new HashMap<>();
    for (Evidence.Listed entry : evidence.observationsOf(Evidence.Listed.class)) {
      TreeMap<Double, Boolean> changes =
          leaving.computeIfAbsent(entry.endpoint(), endpoint -> new TreeMap<>());
      boolean leaves = !entry.state().equals("ready");
      if (changes.isEmpty() || changes.lastEntry().getValue() != leaves) {
        changes.put(entry.at(), leaves);
      }
    }
    return leaving;
  }

  /** Rule 3: no connected proxy sends to an endpoint long after it was listed as leaving. */
  private void checkDraining() {
    Map<String, TreeMap<Double, Boolean>> leaving = leavingTimes();
    Set<String> reported = new HashSet<>();
    for (Evidence.Arrival arrival : evidence.observationsOf(Evidence.Arrival.class)) {
      Map.Entry<Double, Boolean> change =
          leaving.getOrDefault(arrival.endpoint(), new TreeMap<>()).floorEntry(arrival.at());
      double connected = sessions.connectedSince(arrival.proxy(), arrival.at());
      if (change == null || !change.getValue() || Double.isNaN(connected)) {
        continue;
      }
      double late = arrival.at() - Math.max(change.getKey(), connected);
      if (late > limits.drainGraceMillis() && reported.add(arrival.proxy() + arrival.endpoint())) {
        violated(
            DRAINING,
            String.format(
                "at %.0f ms proxy %s sent to %s, %.0f ms after its assigner was told that it leaves",
                arrival.at(), arrival.proxy(), arrival.endpoint(), late));
      }
    }
  }

  /** Rule 4: no warming-up endpoint is sent so much that it crashes. */
  private void checkSlowStart() {
    for (Evidence.Overloaded overloaded : evidence.observationsOf(Evidence.Overloaded.class)) {
      violated(
          SLOW_START,
          String.format(
              "at %.0f ms cold task %s was sent %.1f times what it could do, and fell",
              overloaded.at(), overloaded.endpoint(), overloaded.multiple()));
    }
  }

  /** Rule 5: an instance's backlog stays within its limit. */
  private void checkBacklog() {
    int highest = 0;
    for (Evidence.ChannelBacklog channel : evidence.observationsOf(Evidence.ChannelBacklog.class)) {
      highest = Math.max(highest, channel.backlog());
      if (channel.backlog() > channel.limit()) {
        violated(
            CHANNEL_LIMITS,
            String.format(
                "at %.0f ms %d lines wait, the limit is %d",
                channel.at(), channel.backlog(), channel.limit()));
      }
    }
    counts.put("most lines waiting", highest);
  }

  /** Rule 5: a proxy gets few messages in any window, counted from its connecting. */
  private void checkMessageRate() {
    Map<String, List<Double>> recentCommits = new HashMap<>();
    int most = 0;
    for (Evidence.Commit commit : evidence.observationsOf(Evidence.Commit.class)) {
      List<Double> times = recentCommits.computeIfAbsent(commit.proxy(), p -> new ArrayList<>());
      times.add(commit.at());
      double connected = sessions.connectedSince(commit.proxy(), commit.at());
      times.removeIf(at -> commit.at() - at > limits.messageWindowMillis() || at < connected);
      most = Math.max(most, times.size());
      if (limits.maxMessagesPerProxy() > 0 && times.size() > limits.maxMessagesPerProxy()) {
        violated(
            CHANNEL_LIMITS,
            String.format(
                "at %.0f ms proxy %s had %d messages in %.0f ms",
                commit.at(), commit.proxy(), times.size(), limits.messageWindowMillis()));
      }
    }
    counts.put("most messages to one proxy", most);
  }
}
