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
 * done once or said not to be done, and service. It shares no code with what decides.
 */
public final class InvariantChecker {
  /** What the rules' limits are on a scenario; milliseconds. */
  public record Limits(
      double maxTimeWithoutEndpointMillis,
      double graceMillis,
      double slowStartMillis,
      int maxMessagesPerProxy,
      double messageWindowMillis) {}

  /** An request class as service counts it. */
  public record RequestClassPolicy(
      double latencyObjectiveMillis, double priorityWeight, boolean idempotent) {}

  /**
   * @param broken what was broken, a line each, by rule; empty where all were kept
   */
  public record Verdict(
      List<String> violations,
      double service,
      double worstWindow,
      double worstClass,
      String worstClassName,
      Map<String, Integer> counts) {}

  private static final double WINDOW_MILLIS = 10_000; // ms; the rules' and the service's worst span
  private static final int MAX_SHOWN_PER_RULE =
      5; // breaks of one rule that are told; the rest are counted

  private final Limits limits;
  private final Map<String, RequestClassPolicy> requestClasses;
  private final Evidence evidence;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final Map<Integer, Integer> violationsByRule = new HashMap<>();

  public InvariantChecker(
      Limits limits, Map<String, RequestClassPolicy> requestClasses, Evidence evidence) {
    this.limits = limits;
    this.requestClasses = requestClasses;
    this.evidence = evidence;
  }

  public Verdict judge(double endMillis) {
    checkTimeWithoutEndpoint();
    checkNoDuplicateEffects();
    checkDraining();
    for (Evidence.Overloaded fell : evidence.of(Evidence.Overloaded.class)) {
      violated(
          4,
          String.format(
              "at %.0f ms cold task %s was sent %.1f times what it could do, and fell",
              fell.at(), fell.endpoint(), fell.times()));
    }
    channel();
    List<Evidence.Outcome> outcomes = evidence.of(Evidence.Outcome.class);
    count(outcomes);
    double worstClass = 1;
    String worstName = "";
    for (String type : requestClasses.keySet()) {
      double one = service(outcomes.stream().filter(o -> o.requestClass().equals(type)).toList());
      if (one < worstClass || worstName.isEmpty()) {
        worstClass = one;
        worstName = type;
      }
    }
    double worstWindow = 1;
    for (double from = 0; from + WINDOW_MILLIS <= endMillis; from += WINDOW_MILLIS / 10) {
      double at = from;
      worstWindow =
          Math.min(
              worstWindow,
              service(
                  outcomes.stream()
                      .filter(o -> o.askedAt() >= at && o.askedAt() < at + WINDOW_MILLIS)
                      .toList()));
    }
    return new Verdict(violations, service(outcomes), worstWindow, worstClass, worstName, counts);
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
    double got = 0;
    for (Evidence.Outcome o : outcomes) {
      RequestClassPolicy worth = requestClasses.get(o.requestClass());
      asked += worth.priorityWeight();
      got +=
          o.status() == 200 && o.tookMillis() <= worth.latencyObjectiveMillis()
              ? worth.priorityWeight()
              : 0;
    }
    return asked == 0 ? 1 : got / asked;
  }

  private void count(List<Evidence.Outcome> outcomes) {
    counts.put("ops", outcomes.size());
    for (Evidence.Outcome o : outcomes) {
      counts.merge(
          o.status() == 200 ? "acked" : o.notExecuted() ? "rejected" : "aborted", 1, Integer::sum);
      if (o.status() != 200) {
        counts.merge("because of " + (o.reason().isEmpty() ? "?" : o.reason()), 1, Integer::sum);
      }
    }
    counts.put(
        "further tries",
        (int) evidence.of(Evidence.Arrival.class).stream().filter(a -> a.attempt() > 1).count());
    counts.put("messages", evidence.of(Evidence.Commit.class).size());
    counts.put(
        "joins",
        (int)
            evidence.of(Evidence.Session.class).stream().filter(Evidence.Session::joined).count());
  }

  /** When a proxy's stream stood last before a time; NaN where it did not stand then. */
  private double connectedSince(
      Map<String, List<Evidence.Session>> sessions, String proxy, double at) {
    double since = Double.NaN;
    for (Evidence.Session s : sessions.getOrDefault(proxy, List.of())) {
      if (s.at() > at) {
        break;
      }
      since = s.joined() ? s.at() : Double.NaN;
    }
    return since;
  }

  private Map<String, List<Evidence.Session>> sessions() {
    Map<String, List<Evidence.Session>> sessions = new HashMap<>();
    for (Evidence.Session s : evidence.of(Evidence.Session.class)) {
      sessions.computeIfAbsent(s.proxy(), p -> new ArrayList<>()).add(s);
    }
    return sessions;
  }

  private boolean warmEndpointListed(double at) {
    Map<String, Evidence.Listed> list = new HashMap<>();
    for (Evidence.Listed t : evidence.of(Evidence.Listed.class)) {
      if (t.at() > at) {
        break;
      }
      list.put(t.endpoint(), t);
    }
    return list.values().stream()
        .anyMatch(t -> t.state().equals("ready") && at - t.startedAt() >= limits.slowStartMillis());
  }

  private void checkTimeWithoutEndpoint() {
    Map<String, List<Evidence.Session>> sessions = sessions();
    Map<String, Double> since = new HashMap<>();
    List<Evidence.Outcome> outcomes = new ArrayList<>(evidence.of(Evidence.Outcome.class));
    outcomes.sort(Comparator.comparingDouble(Evidence.Outcome::endedAt));
    for (Evidence.Outcome o : outcomes) {
      String who = o.proxy() + " for " + o.requestClass();
      double joined = connectedSince(sessions, o.proxy(), o.endedAt());
      if (!o.reason().equals("no-task")
          || Double.isNaN(joined)
          || !warmEndpointListed(o.endedAt())) {
        since.remove(who);
        continue;
      }
      double first = Math.max(joined, since.merge(who, o.endedAt(), Math::min));
      if (o.endedAt() - first > limits.maxTimeWithoutEndpointMillis()) {
        violated(
            1,
            String.format(
                "at %.0f ms proxy %s had no task for %.0f ms",
                o.endedAt(), who, o.endedAt() - first));
      }
    }
  }

  private void checkNoDuplicateEffects() {
    Map<String, List<Evidence.Effect>> effects = new HashMap<>();
    for (Evidence.Effect e : evidence.of(Evidence.Effect.class)) {
      if (!requestClasses.get(e.requestClass()).idempotent()) {
        effects.computeIfAbsent(e.op(), op -> new ArrayList<>()).add(e);
      }
    }
    effects.forEach(
        (op, all) -> {
          if (all.size() > 1) {
            violated(
                2,
                String.format(
                    "op %s took effect %d times, last at %.0f ms at %s",
                    op,
                    all.size(),
                    all.get(all.size() - 1).at(),
                    all.get(all.size() - 1).endpoint()));
          }
        });
    for (Evidence.Outcome o : evidence.of(Evidence.Outcome.class)) {
      if (requestClasses.get(o.requestClass()).idempotent()) {
        continue;
      }
      int done = effects.getOrDefault(o.op(), List.of()).size();
      if (o.status() == 200 && done != 1 || o.notExecuted() && done != 0) {
        violated(
            2,
            "op "
                + o.op()
                + " was answered "
                + o.status()
                + (o.notExecuted() ? " as not done" : "")
                + " and took effect "
                + done
                + " times");
      }
      counts.merge(
          o.status() == 200
              ? "not repeatable, done once"
              : o.notExecuted()
                  ? "not repeatable, said not to be done"
                  : done == 0
                      ? "not repeatable, unknown to the client, not done"
                      : "not repeatable, unknown to the client, done once",
          1,
          Integer::sum);
    }
  }

  private void checkDraining() {
    Map<String, List<Evidence.Session>> sessions = sessions();
    Map<String, TreeMap<Double, Boolean>> leaving = new HashMap<>();
    for (Evidence.Listed t : evidence.of(Evidence.Listed.class)) {
      TreeMap<Double, Boolean> of = leaving.computeIfAbsent(t.endpoint(), k -> new TreeMap<>());
      boolean out = !t.state().equals("ready");
      if (of.isEmpty() || of.lastEntry().getValue() != out) {
        of.put(t.at(), out);
      }
    }
    Set<String> seen = new HashSet<>();
    for (Evidence.Arrival a : evidence.of(Evidence.Arrival.class)) {
      var told = leaving.getOrDefault(a.endpoint(), new TreeMap<>()).floorEntry(a.at());
      double joined = connectedSince(sessions, a.proxy(), a.at());
      if (told == null || !told.getValue() || Double.isNaN(joined)) {
        continue;
      }
      double late = a.at() - Math.max(told.getKey(), joined);
      if (late > limits.graceMillis() && seen.add(a.proxy() + a.endpoint())) {
        violated(
            3,
            String.format(
                "at %.0f ms proxy %s sent to %s, %.0f ms after its assigner was told that it leaves",
                a.at(), a.proxy(), a.endpoint(), late));
      }
    }
  }

  private void channel() {
    int high = 0;
    for (Evidence.Channel c : evidence.of(Evidence.Channel.class)) {
      high = Math.max(high, c.backlog());
      if (c.backlog() > c.limit()) {
        violated(
            5,
            String.format(
                "at %.0f ms %d lines wait, the limit is %d", c.at(), c.backlog(), c.limit()));
      }
    }
    counts.put("most lines waiting", high);
    Map<String, List<Evidence.Session>> sessions = sessions();
    Map<String, List<Double>> commits = new HashMap<>();
    int most = 0;
    for (Evidence.Commit c : evidence.of(Evidence.Commit.class)) {
      List<Double> times = commits.computeIfAbsent(c.proxy(), p -> new ArrayList<>());
      times.add(c.at());
      double joined = connectedSince(sessions, c.proxy(), c.at());
      times.removeIf(
          at ->
              c.at() - at > limits.messageWindowMillis()
                  || at < joined); // counted from its joining
      most = Math.max(most, times.size());
      if (limits.maxMessagesPerProxy() > 0 && times.size() > limits.maxMessagesPerProxy()) {
        violated(
            5,
            String.format(
                "at %.0f ms proxy %s had %d messages in %.0f ms",
                c.at(), c.proxy(), times.size(), limits.messageWindowMillis()));
      }
    }
    counts.put("most messages to one proxy", most);
  }
}
