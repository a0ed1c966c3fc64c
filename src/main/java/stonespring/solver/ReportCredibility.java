package stonespring.solver;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;

/**
 * Judges what is said of capacity before it counts. A claim loses force with age and when its
 * source was contradicted; it never lifts a task further above what it is listed with or has proven
 * than one step, and what proxies met there caps it. So a claim three times too high brings a task
 * at most {@code STEP} - 1 of its capacity too much, for about twice the time that sums take to
 * tell of trouble, and nothing once the claim is {@code AGE_MOST} old.
 */
public final class ReportCredibility {
  /** Who says what a task can do. */
  public enum Source {
    TASK,
    OPERATOR
  }

  private static final double STEP =
      1.25; // times; more than the noise of reports, and a surge less of it hurts little
  private static final long AGE_HALF =
      50_000; // 0.1 ms; a few report periods, after which half counts
  private static final long AGE_MOST = 300_000; // 0.1 ms; a claim this old says nothing
  private static final long PROVEN_HALF = 600_000; // 0.1 ms; machines change by the minute at most
  private static final long CREDIT_HALF =
      200_000; // 0.1 ms; a source that lied is believed again within a minute
  private static final double CALM = 0.1; // share of tries bad or late; some always are
  private static final double TROUBLE =
      0.3; // share of tries bad or late, over the fleet's; more than chance shows
  private static final double FLEET_LEAST = 0.05; // share of tries that go well; in any jam some do
  private static final double UNPROVEN =
      0.7; // times what is listed; machines listed alike differ by so much
  private static final double DOUBT = 4; // tries; fewer say little
  private static final double CONTRADICTED = 0.5; // times the credit left, each time
  private static final double DISAGREE = 1.5; // times; sources this far apart can't both be right
  private static final double CUT =
      0.7; // times what came; one step too much is under the truth again
  private static final double CEILING_LEAST =
      0.25; // times what is listed; in a jam acks say too little
  private static final double CEILING_RISE = 0.05; // share a second while all goes well below it

  /**
   * What a task is trusted with.
   *
   * @param capacity ops a second when warm
   * @param claimed the highest claim that counts at all; NaN if none
   * @param why which of the judgements set the figure
   */
  public record Judgement(EndpointId task, double capacity, double claimed, Why why) {}

  /** What set a figure. */
  public enum Why {
    LISTED,
    CLAIMED,
    SOURCES_DISAGREE,
    ONE_STEP,
    MET
  }

  private final TreeMap<String, Integer> index = new TreeMap<>();
  private final ArrayDeque<Integer> free = new ArrayDeque<>();
  private EndpointId[] task = new EndpointId[0];
  private double[] listed = new double[0];
  private double[] proven = new double[0];
  private double[] ceiling = new double[0];
  private long[] metAt = new long[0];
  private double[][] claim = new double[Source.values().length][0];
  private double[][] credit = new double[Source.values().length][0];
  private long[][] madeAt = new long[Source.values().length][0];
  private long[][] creditAt = new long[Source.values().length][0];
  private double fleetGood = 1;

  /**
   * @throws IllegalArgumentException if the weight is not above 0
   */
  public void listed(EndpointId id, double weight) {
    require(weight > 0 && weight < 1e12, id, "weight " + weight);
    int i = of(id); // before the array is read, as it may grow
    listed[i] = weight;
  }

  /** A task that starts anew has proven nothing, and nobody has lied about it. */
  public void startedAnew(EndpointId id) {
    Integer i = index.get(id.name());
    if (i != null) {
      forget(i);
    }
  }

  /** A task left for good: its place is for another. */
  public void gone(EndpointId id) {
    Integer i = index.remove(id.name());
    if (i != null) {
      free.push(i); // whoever takes the place is forgotten first
    }
  }

  private void forget(int i) {
    listed[i] = proven[i] = 0;
    ceiling[i] = Double.POSITIVE_INFINITY;
    metAt[i] = 0;
    for (int s = 0; s < claim.length; s++) {
      claim[s][i] = Double.NaN;
      credit[s][i] = 1;
      creditAt[s][i] = madeAt[s][i] = 0;
    }
  }

  private int of(EndpointId id) {
    Integer known = index.get(id.name());
    if (known != null) {
      return known;
    }
    int i = free.isEmpty() ? index.size() : free.pop();
    index.put(id.name(), i);
    if (i == task.length) {
      int size = Math.max(32, 2 * i);
      task = Arrays.copyOf(task, size);
      listed = Arrays.copyOf(listed, size);
      proven = Arrays.copyOf(proven, size);
      ceiling = Arrays.copyOf(ceiling, size);
      metAt = Arrays.copyOf(metAt, size);
      for (int s = 0; s < claim.length; s++) {
        claim[s] = Arrays.copyOf(claim[s], size);
        credit[s] = Arrays.copyOf(credit[s], size);
        madeAt[s] = Arrays.copyOf(madeAt[s], size);
        creditAt[s] = Arrays.copyOf(creditAt[s], size);
      }
    }
    task[i] = id;
    forget(i);
    return i;
  }

  private static void require(boolean holds, EndpointId id, String what) {
    if (!holds) {
      throw new IllegalArgumentException("task " + id.name() + ": " + what);
    }
  }

  /**
   * A source says what a task can do when warm, ops a second, as of {@code made}; older than what
   * it said before is left out.
   *
   * @throws IllegalArgumentException if the capacity is not above 0
   */
  public void claimed(EndpointId id, Source source, double capacity, long made) {
    require(capacity > 0 && capacity < 1e12, id, "capacity " + capacity + " by " + source);
    int i = of(id);
    int s = source.ordinal();
    if (Double.isNaN(claim[s][i]) || made > madeAt[s][i]) {
      claim[s][i] = capacity;
      madeAt[s][i] = made;
    }
  }

  /**
   * The share of all tries in the fleet that end badly or late: a jam of all says nothing of one
   * task.
   */
  public void fleetMet(double inVain) {
    fleetGood = Math.max(FLEET_LEAST, 1 - inVain);
  }

  /**
   * What proxies met there in a span: all tries, and those that ended badly or after the target
   * latency.
   *
   * @param others ops a second that reach it besides, from proxies of other instances
   */
  public void met(EndpointId id, long tries, double inVain, long span, double others, long now) {
    int i = of(id);
    double trouble = inVain / (tries + DOUBT);
    double came = tries * (double) DeciMillis.SECOND / Math.max(1, span) + others;
    double went = came * (1 - Math.min(1, inVain / Math.max(1, tries)));
    double past = Math.max(0, now - metAt[i]);
    proven[i] *= Math.pow(0.5, past / PROVEN_HALF);
    metAt[i] = now;
    if (trouble < CALM) {
      proven[i] = Math.max(proven[i], went);
      ceiling[i] *= Math.pow(1 + CEILING_RISE, past / DeciMillis.SECOND);
    } else if (1 - (1 - trouble) / fleetGood > TROUBLE) {
      // In a jam acks in time say too little: what came is cut by a part, again and again until it
      // goes well.
      ceiling[i] = Math.min(ceiling[i], Math.max(went, CUT * came));
      for (int s = 0; s < claim.length; s++) {
        // Who claimed more than came when it failed was wrong, be it stale, mistaken or a lie.
        if (force(s, i, now) > 0 && claim[s][i] > came) {
          credit[s][i] = creditNow(s, i, now) * CONTRADICTED;
          creditAt[s][i] = now;
        }
      }
    }
  }

  private double creditNow(int s, int i, long now) {
    return 1
        - (1 - credit[s][i])
            * Math.pow(0.5, (double) Math.max(0, now - creditAt[s][i]) / CREDIT_HALF);
  }

  /** Share by which a claim counts, by its age and its source's credit. */
  private double force(int s, int i, long now) {
    long age = Math.max(0, now - madeAt[s][i]);
    if (Double.isNaN(claim[s][i]) || age >= AGE_MOST) {
      return 0;
    }
    return creditNow(s, i, now) * Math.pow(0.5, (double) age / AGE_HALF);
  }

  /**
   * What one unit of listed weight does, ops a second: the median of claims and proofs, which half
   * the fleet must fake.
   */
  private double unit(long now) {
    List<Double> each = new ArrayList<>();
    for (int i : index.values()) {
      double best = proven[i];
      for (int s = 0; s < claim.length; s++) {
        best = force(s, i, now) > 0.5 ? Math.max(best, Math.min(claim[s][i], ceiling[i])) : best;
      }
      if (listed[i] > 0 && best > 0) {
        each.add(best / listed[i]);
      }
    }
    each.sort(Double::compare);
    return each.isEmpty()
        ? Double.NaN
        : each.get((each.size() - 1) / 2); // of two the lower: the other may lie
  }

  /**
   * What each listed task is trusted with, by name; empty while nothing at all tells what a unit of
   * weight does.
   */
  public List<Judgement> judge(long now) {
    List<Judgement> all = new ArrayList<>();
    double unit = unit(now);
    for (int i : index.values()) {
      if (listed[i] > 0 && !Double.isNaN(unit)) {
        all.add(judge(i, unit * listed[i], now));
      }
    }
    return all;
  }

  private Judgement judge(int i, double byList, long now) {
    double forces = 0;
    double mean = 0;
    double least = Double.POSITIVE_INFINITY;
    double most = 0;
    double strongest = 0;
    for (int s = 0; s < claim.length; s++) {
      double force = force(s, i, now);
      if (force > 0) {
        forces += force;
        mean += force * claim[s][i];
        strongest = Math.max(strongest, force);
        least = Math.min(least, claim[s][i]);
        most = Math.max(most, claim[s][i]);
      }
    }
    Why why = Why.LISTED;
    double capacity = byList * (proven[i] > 0 ? 1 : UNPROVEN);
    if (forces > 0) {
      boolean apart = most > DISAGREE * least;
      double said = apart ? least : mean / forces;
      capacity = byList + strongest * (said - byList);
      why = apart ? Why.SOURCES_DISAGREE : Why.CLAIMED;
    }
    double step = STEP * Math.max(byList, proven[i]);
    if (capacity > step) {
      capacity = step;
      why = Why.ONE_STEP;
    }
    double cap = Math.max(ceiling[i], CEILING_LEAST * byList);
    if (capacity > cap) {
      capacity = cap;
      why = Why.MET;
    }
    return new Judgement(task[i], capacity, most > 0 ? most : Double.NaN, why);
  }
}
