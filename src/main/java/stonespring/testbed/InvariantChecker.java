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
 * Judges a day by its evidence alone: the five rules, whether every once-only op was done once or
 * said not to be done, and service. It shares no code with what decides.
 */
public final class InvariantChecker {
  /** What the rules' limits are on a day; milliseconds. */
  public record Limits(
      double emptyMillis,
      double graceMillis,
      double coldMillis,
      int messagesMost,
      double messagesOverMillis) {}

  /** An op type as service counts it. */
  public record Worth(double targetMillis, double benefit, boolean repeatable) {}

  /**
   * @param broken what was broken, a line each, by rule; empty where all were kept
   */
  public record Verdict(
      List<String> broken,
      double service,
      double worstWindow,
      double worstType,
      String worstTypeName,
      Map<String, Integer> counts) {}

  private static final double WINDOW = 10_000; // ms; the rules' and the service's worst span
  private static final int SHOWN = 5; // breaks of one rule that are told; the rest are counted

  private final Limits limits;
  private final Map<String, Worth> worths;
  private final Evidence evidence;
  private final List<String> broken = new ArrayList<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final Map<Integer, Integer> breaks = new HashMap<>();

  public InvariantChecker(Limits limits, Map<String, Worth> worths, Evidence evidence) {
    this.limits = limits;
    this.worths = worths;
    this.evidence = evidence;
  }

  public Verdict judge(double endMillis) {
    nobodyWithout();
    noEffectTwice();
    drains();
    for (Evidence.Fell fell : evidence.of(Evidence.Fell.class)) {
      broke(
          4,
          String.format(
              "at %.0f ms cold task %s was sent %.1f times what it could do, and fell",
              fell.at(), fell.task(), fell.times()));
    }
    channel();
    List<Evidence.Outcome> outcomes = evidence.of(Evidence.Outcome.class);
    count(outcomes);
    double worstType = 1;
    String worstName = "";
    for (String type : worths.keySet()) {
      double one = service(outcomes.stream().filter(o -> o.opType().equals(type)).toList());
      if (one < worstType || worstName.isEmpty()) {
        worstType = one;
        worstName = type;
      }
    }
    double worstWindow = 1;
    for (double from = 0; from + WINDOW <= endMillis; from += WINDOW / 10) {
      double at = from;
      worstWindow =
          Math.min(
              worstWindow,
              service(
                  outcomes.stream()
                      .filter(o -> o.askedAt() >= at && o.askedAt() < at + WINDOW)
                      .toList()));
    }
    return new Verdict(broken, service(outcomes), worstWindow, worstType, worstName, counts);
  }

  private void broke(int rule, String what) {
    int before = breaks.merge(rule, 1, Integer::sum);
    if (before <= SHOWN) {
      broken.add("rule " + rule + ": " + what);
    } else if (before == SHOWN + 1) {
      broken.add("rule " + rule + ": and more");
    }
  }

  private double service(List<Evidence.Outcome> outcomes) {
    double asked = 0;
    double got = 0;
    for (Evidence.Outcome o : outcomes) {
      Worth worth = worths.get(o.opType());
      asked += worth.benefit();
      got += o.status() == 200 && o.tookMillis() <= worth.targetMillis() ? worth.benefit() : 0;
    }
    return asked == 0 ? 1 : got / asked;
  }

  private void count(List<Evidence.Outcome> outcomes) {
    counts.put("ops", outcomes.size());
    for (Evidence.Outcome o : outcomes) {
      counts.merge(
          o.status() == 200 ? "acked" : o.notRun() ? "rejected" : "aborted", 1, Integer::sum);
      if (o.status() != 200) {
        counts.merge("because of " + (o.reason().isEmpty() ? "?" : o.reason()), 1, Integer::sum);
      }
    }
    counts.put(
        "further tries",
        (int) evidence.of(Evidence.Arrival.class).stream().filter(a -> a.tryNumber() > 1).count());
    counts.put("messages", evidence.of(Evidence.Commit.class).size());
    counts.put(
        "joins",
        (int) evidence.of(Evidence.Stream.class).stream().filter(Evidence.Stream::joined).count());
  }

  /** When a proxy's stream stood last before a time; NaN where it did not stand then. */
  private double joinedSince(Map<String, List<Evidence.Stream>> streams, String proxy, double at) {
    double since = Double.NaN;
    for (Evidence.Stream s : streams.getOrDefault(proxy, List.of())) {
      if (s.at() > at) {
        break;
      }
      since = s.joined() ? s.at() : Double.NaN;
    }
    return since;
  }

  private Map<String, List<Evidence.Stream>> streams() {
    Map<String, List<Evidence.Stream>> streams = new HashMap<>();
    for (Evidence.Stream s : evidence.of(Evidence.Stream.class)) {
      streams.computeIfAbsent(s.proxy(), p -> new ArrayList<>()).add(s);
    }
    return streams;
  }

  private boolean warmListed(double at) {
    Map<String, Evidence.Told> list = new HashMap<>();
    for (Evidence.Told t : evidence.of(Evidence.Told.class)) {
      if (t.at() > at) {
        break;
      }
      list.put(t.task(), t);
    }
    return list.values().stream()
        .anyMatch(t -> t.state().equals("ready") && at - t.startedAt() >= limits.coldMillis());
  }

  private void nobodyWithout() {
    Map<String, List<Evidence.Stream>> streams = streams();
    Map<String, Double> since = new HashMap<>();
    List<Evidence.Outcome> outcomes = new ArrayList<>(evidence.of(Evidence.Outcome.class));
    outcomes.sort(Comparator.comparingDouble(Evidence.Outcome::endedAt));
    for (Evidence.Outcome o : outcomes) {
      String who = o.proxy() + " for " + o.opType();
      double joined = joinedSince(streams, o.proxy(), o.endedAt());
      if (!o.reason().equals("no-task") || Double.isNaN(joined) || !warmListed(o.endedAt())) {
        since.remove(who);
        continue;
      }
      double first = Math.max(joined, since.merge(who, o.endedAt(), Math::min));
      if (o.endedAt() - first > limits.emptyMillis()) {
        broke(
            1,
            String.format(
                "at %.0f ms proxy %s had no task for %.0f ms",
                o.endedAt(), who, o.endedAt() - first));
      }
    }
  }

  private void noEffectTwice() {
    Map<String, List<Evidence.Effect>> effects = new HashMap<>();
    for (Evidence.Effect e : evidence.of(Evidence.Effect.class)) {
      if (!worths.get(e.opType()).repeatable()) {
        effects.computeIfAbsent(e.op(), op -> new ArrayList<>()).add(e);
      }
    }
    effects.forEach(
        (op, all) -> {
          if (all.size() > 1) {
            broke(
                2,
                String.format(
                    "op %s took effect %d times, last at %.0f ms at %s",
                    op, all.size(), all.get(all.size() - 1).at(), all.get(all.size() - 1).task()));
          }
        });
    for (Evidence.Outcome o : evidence.of(Evidence.Outcome.class)) {
      if (worths.get(o.opType()).repeatable()) {
        continue;
      }
      int done = effects.getOrDefault(o.op(), List.of()).size();
      if (o.status() == 200 && done != 1 || o.notRun() && done != 0) {
        broke(
            2,
            "op "
                + o.op()
                + " was answered "
                + o.status()
                + (o.notRun() ? " as not done" : "")
                + " and took effect "
                + done
                + " times");
      }
      counts.merge(
          o.status() == 200
              ? "not repeatable, done once"
              : o.notRun()
                  ? "not repeatable, said not to be done"
                  : done == 0
                      ? "not repeatable, unknown to the client, not done"
                      : "not repeatable, unknown to the client, done once",
          1,
          Integer::sum);
    }
  }

  private void drains() {
    Map<String, List<Evidence.Stream>> streams = streams();
    Map<String, TreeMap<Double, Boolean>> leaving = new HashMap<>();
    for (Evidence.Told t : evidence.of(Evidence.Told.class)) {
      TreeMap<Double, Boolean> of = leaving.computeIfAbsent(t.task(), k -> new TreeMap<>());
      boolean out = !t.state().equals("ready");
      if (of.isEmpty() || of.lastEntry().getValue() != out) {
        of.put(t.at(), out);
      }
    }
    Set<String> seen = new HashSet<>();
    for (Evidence.Arrival a : evidence.of(Evidence.Arrival.class)) {
      var told = leaving.getOrDefault(a.task(), new TreeMap<>()).floorEntry(a.at());
      double joined = joinedSince(streams, a.proxy(), a.at());
      if (told == null || !told.getValue() || Double.isNaN(joined)) {
        continue;
      }
      double late = a.at() - Math.max(told.getKey(), joined);
      if (late > limits.graceMillis() && seen.add(a.proxy() + a.task())) {
        broke(
            3,
            String.format(
                "at %.0f ms proxy %s sent to %s, %.0f ms after its assigner was told that it leaves",
                a.at(), a.proxy(), a.task(), late));
      }
    }
  }

  private void channel() {
    int high = 0;
    for (Evidence.Channel c : evidence.of(Evidence.Channel.class)) {
      high = Math.max(high, c.backlog());
      if (c.backlog() > c.limit()) {
        broke(
            5,
            String.format(
                "at %.0f ms %d lines wait, the limit is %d", c.at(), c.backlog(), c.limit()));
      }
    }
    counts.put("most lines waiting", high);
    Map<String, List<Evidence.Stream>> streams = streams();
    Map<String, List<Double>> commits = new HashMap<>();
    int most = 0;
    for (Evidence.Commit c : evidence.of(Evidence.Commit.class)) {
      List<Double> times = commits.computeIfAbsent(c.proxy(), p -> new ArrayList<>());
      times.add(c.at());
      double joined = joinedSince(streams, c.proxy(), c.at());
      times.removeIf(
          at ->
              c.at() - at > limits.messagesOverMillis() || at < joined); // counted from its joining
      most = Math.max(most, times.size());
      if (limits.messagesMost() > 0 && times.size() > limits.messagesMost()) {
        broke(
            5,
            String.format(
                "at %.0f ms proxy %s had %d messages in %.0f ms",
                c.at(), c.proxy(), times.size(), limits.messagesOverMillis()));
      }
    }
    counts.put("most messages to one proxy", most);
  }
}
