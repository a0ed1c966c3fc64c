package stonespring.proxy.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32;
import stonespring.model.AdmissionLimitKind;

/**
 * What a proxy does with an op: whether it is let in, where it goes, whether it may be tried again.
 * It obeys the tables that it was given and decides nothing of its own but to keep away from a task
 * that keeps failing. No I/O, no clock, no thread: time is passed in, tenths of a millisecond;
 * chance is drawn from the seed and a counter, so that the same calls give the same answers.
 *
 * <p>Tables of one stream of orders replace those held before for each op type that the stream
 * binds; for the others what is held stands, with withdrawals from then and now. Where nothing is
 * left but tasks that are kept away from, these are taken: a try that may fail is better than none.
 */
public final class Router {
  private static final double BURST =
      1; // s; a level as a rate may save up so much of it while few ops come

  private record Level(double value, Way way) {}

  /** One line as picks see it. */
  private static final class Line {
    private final int task;
    private final double weight;
    private double credit;

    Line(int task, double weight) {
      this.task = task;
      this.weight = weight;
    }
  }

  private final RouterSettings set;
  private final long seed;
  private long draws;

  // Figures about tasks: parallel arrays under a task's index.
  private final Map<String, Integer> indexOf = new HashMap<>();
  private final List<EndpointName> taskOf = new ArrayList<>();
  private int[] out = new int[16];
  private int[] row = new int[16];
  private long[] shunnedUntil = new long[16];

  // What the present stream ordered.
  private String origin = "";
  private final TreeMap<String, TreeMap<String, Double>> tables = new TreeMap<>();
  private final String[] bound;
  private final TreeSet<String> withdrawn = new TreeSet<>();
  private final Map<String, Level> levels = new HashMap<>();

  // What was held before it.
  private final List<TreeMap<String, Double>> before = new ArrayList<>();
  private final TreeSet<String> withdrawnBefore = new TreeSet<>();

  // What follows from both, worked out when a message comes.
  private final List<List<Line>> lines = new ArrayList<>();
  private final double[] rateCredit;
  private final long[] rateAt;
  private boolean fresh = true;

  public Router(RouterSettings settings, long seed) {
    this.set = settings;
    this.seed = seed;
    int types = settings.types().size();
    this.bound = new String[types];
    this.rateCredit = new double[types];
    this.rateAt = new long[types];
    Arrays.fill(rateCredit, Double.NaN);
    for (int k = 0; k < types; k++) {
      before.add(new TreeMap<>());
      lines.add(List.of());
    }
  }

  /** The table that a proxy starts with, for every op type alike. */
  public void standing(List<EndpointName> tasks) {
    for (TreeMap<String, Double> table : before) {
      tasks.forEach(task -> table.put(task.name(), 1.0));
    }
    workOut();
  }

  private double chance() {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).flip());
    return crc.getValue() / 4294967296.0;
  }

  private int index(String task) {
    Integer known = indexOf.get(task);
    if (known != null) {
      return known;
    }
    int index = taskOf.size();
    indexOf.put(task, index);
    taskOf.add(new EndpointName(task));
    if (index == out.length) {
      out = Arrays.copyOf(out, 2 * index);
      row = Arrays.copyOf(row, 2 * index);
      shunnedUntil = Arrays.copyOf(shunnedUntil, 2 * index);
    }
    return index;
  }

  /**
   * Applies a whole message. Keys that it does not know are passed over, so that a later assigner
   * may say more; a known key with a value that can't be read throws IllegalArgumentException and
   * leaves all as it was.
   */
  public void apply(TableSubscriber.Step.Message message) {
    check(message.changes());
    if (message.whole()) {
      begin(message.origin());
    }
    message.changes().forEach(this::change);
    fresh = false;
    workOut();
  }

  private static void check(Map<String, String> changes) {
    changes.forEach(
        (key, value) -> {
          String[] segments = key.split("/");
          if (value != null && segments[0].equals("line") && !(number(key, value) > 0)) {
            throw new IllegalArgumentException(key + ": a weight of " + value);
          }
          if (value != null && segments[0].equals("level")) {
            level(key, value);
          }
        });
  }

  private static double number(String key, String value) {
    try {
      double number = Double.parseDouble(value);
      if (number >= 0 && number < 1e12) {
        return number;
      }
    } catch (NumberFormatException e) {
      // told below, with the key
    }
    throw new IllegalArgumentException(key + ": '" + value + "' is no number from 0");
  }

  private static Level level(String key, String value) {
    String[] words = value.split(" ");
    Way way = words.length == 2 ? Way.named(words[1]) : null;
    if (way == null) {
      throw new IllegalArgumentException(
          key + ": '" + value + "' is no level and way of trying again");
    }
    return new Level(number(key, words[0]), way);
  }

  private void begin(String next) {
    if (!next.equals(origin)) {
      // Another stream: what stood until now stands on for what this one does not bind. A bound
      // table's
      // withdrawals go with it: that stream alone could take them back.
      for (int k = 0; k < bound.length; k++) {
        before.set(k, effective(k));
      }
      if (Arrays.stream(bound).allMatch(java.util.Objects::nonNull)) {
        withdrawnBefore.clear();
      }
      withdrawnBefore.addAll(withdrawn);
    }
    origin = next;
    tables.clear();
    Arrays.fill(bound, null);
    withdrawn.clear();
    // Levels for every table hold until another word comes: a jam does not end with a stream.
    levels.keySet().removeIf(key -> !key.startsWith("every/"));
  }

  private void change(String key, String value) {
    String[] s = key.split("/", 3);
    if (s[0].equals("line") && s.length == 3) {
      TreeMap<String, Double> table = tables.computeIfAbsent(s[1], t -> new TreeMap<>());
      if (value == null) {
        table.remove(s[2]);
      } else {
        table.put(s[2], number(key, value));
      }
    } else if (s[0].equals("bind") && s.length == 2) {
      int k = type(s[1]);
      if (k >= 0) {
        bound[k] = value;
      }
    } else if (s[0].equals("out") && s.length == 2) {
      if (value == null) {
        withdrawn.remove(s[1]);
        withdrawnBefore.remove(s[1]);
      } else {
        withdrawn.add(s[1]);
      }
    } else if (s[0].equals("level") && s.length == 3) {
      if (value == null) {
        levels.remove(s[1] + "/" + s[2]);
      } else {
        levels.put(s[1] + "/" + s[2], level(key, value));
      }
    }
  }

  private int type(String name) {
    for (int k = 0; k < bound.length; k++) {
      if (set.types().get(k).name().equals(name)) {
        return k;
      }
    }
    return -1;
  }

  private TreeMap<String, Double> effective(int k) {
    return bound[k] == null
        ? new TreeMap<>(before.get(k))
        : new TreeMap<>(tables.getOrDefault(bound[k], new TreeMap<>()));
  }

  private void workOut() {
    for (int k = 0; k < bound.length; k++) {
      List<Line> all = new ArrayList<>();
      for (Map.Entry<String, Double> entry : effective(k).entrySet()) {
        boolean gone =
            withdrawn.contains(entry.getKey())
                || bound[k] == null && withdrawnBefore.contains(entry.getKey());
        if (!gone) {
          all.add(new Line(index(entry.getKey()), entry.getValue()));
        }
      }
      lines.set(k, all);
    }
  }

  /** Whether one op of this type is let in now. */
  public boolean admit(RequestClassIndex type, long now) {
    Level level = level(type.index());
    if (level == null || set.levels() == AdmissionLimitKind.NONE) {
      return true;
    }
    if (set.levels() == AdmissionLimitKind.FRACTION) {
      return level.value >= 1 || chance() < level.value;
    }
    int k = type.index();
    double most = Math.max(1, level.value * BURST);
    double earned =
        Double.isNaN(rateCredit[k]) ? most : rateCredit[k] + (now - rateAt[k]) / 1e4 * level.value;
    rateCredit[k] = Math.min(most, earned);
    rateAt[k] = now;
    if (rateCredit[k] < 1 || level.value == 0) {
      return false;
    }
    rateCredit[k]--;
    return true;
  }

  /**
   * The lower of the level for all tables and the table's own; the table's own way of trying again
   * holds.
   */
  private Level level(int k) {
    Level every = levels.get("every/" + set.types().get(k).name());
    Level own = bound[k] == null ? null : levels.get(bound[k] + "/" + set.types().get(k).name());
    if (every == null || own == null) {
      return every == null ? own : every;
    }
    return new Level(Math.min(every.value, own.value), own.way);
  }

  /**
   * Where an op of this type goes, or null where no line is left; {@code not} is a task that a try
   * failed at, left out. The op counts as out there until {@link #ended}.
   */
  public EndpointName pick(RequestClassIndex type, EndpointName not, long now) {
    int without = not == null ? -1 : indexOf.getOrDefault(not.name(), -1);
    List<Line> open = new ArrayList<>();
    for (Line line : lines.get(type.index())) {
      if (line.task != without && shunnedUntil[line.task] <= now) {
        open.add(line);
      }
    }
    if (open.isEmpty()) {
      for (Line line : lines.get(type.index())) {
        if (line.task != without) {
          open.add(line);
        }
      }
    }
    if (open.isEmpty()) {
      return null;
    }
    Line line =
        switch (set.picks()) {
          case WEIGHTED -> draw(open);
          case ROUND -> inTurn(open);
          case TWO -> {
            Line one = draw(open);
            Line other = draw(open);
            yield out[other.task] < out[one.task] ? other : one;
          }
        };
    out[line.task]++;
    return taskOf.get(line.task);
  }

  private Line draw(List<Line> open) {
    double all = 0;
    for (Line line : open) {
      all += line.weight;
    }
    double at = chance() * all;
    for (Line line : open) {
      at -= line.weight;
      if (at < 0) {
        return line;
      }
    }
    return open.get(open.size() - 1);
  }

  /** Each line gathers credit by its weight; the richest goes, and pays for all. */
  private static Line inTurn(List<Line> open) {
    double all = 0;
    Line best = null;
    for (Line line : open) {
      line.credit += line.weight;
      all += line.weight;
      best = best == null || line.credit > best.credit ? line : best;
    }
    best.credit -= all;
    return best;
  }

  /** A try ended; a row of bad ones is a reason to keep away for a while. */
  public void ended(EndpointName task, boolean good, long now) {
    int i = index(task.name());
    out[i] = Math.max(0, out[i] - 1);
    row[i] = good ? 0 : row[i] + 1;
    if (set.shunAfter() > 0 && row[i] >= set.shunAfter()) {
      row[i] = 0;
      shunnedUntil[i] =
          now + set.shunLeast() + (long) (chance() * (set.shunMost() - set.shunLeast()));
    }
  }

  /**
   * Whether a further try may be made.
   *
   * @param tries how many were made
   * @param proven whether every try so far is known never to have run
   * @param firstAt when the first try that might have run was sent
   * @param until when the op times out
   */
  public boolean mayTryAgain(
      RequestClassIndex type, int tries, boolean proven, long firstAt, long until, long now) {
    Level level = level(type.index());
    Way way = level == null ? Way.ON_PROOF : level.way;
    if (way == Way.NEVER || until - now < set.retryLeast()) {
      return false;
    }
    if (proven) {
      return tries <= (way == Way.TWICE_ON_FAILURE ? 2 : 1);
    }
    if (way == Way.ON_PROOF || tries > (way == Way.TWICE_ON_FAILURE ? 2 : 1)) {
      return false;
    }
    RouterSettings.Type of = set.types().get(type.index());
    return switch (of.repeat()) {
      case IDEMPOTENT -> true;
      // The repeat must reach the task before it forgets the first try.
      case IDEMPOTENCY_KEYED -> now - firstAt < of.window();
      case NON_IDEMPOTENT -> false;
    };
  }

  /**
   * The tasks that any table names now, withdrawn ones too: connections to others can be closed.
   */
  public TreeSet<String> named() {
    TreeSet<String> all = new TreeSet<>();
    for (int k = 0; k < bound.length; k++) {
      all.addAll(effective(k).keySet());
    }
    return all;
  }

  /** The share of one op type's ops that a task gets by the table; for tests and pages. */
  public Map<String, Double> weights(RequestClassIndex type) {
    Map<String, Double> weights = new TreeMap<>();
    for (Line line : lines.get(type.index())) {
      weights.put(taskOf.get(line.task).name(), line.weight);
    }
    return weights;
  }

  /** Whether nothing but the table from the start was ever held. */
  public boolean fresh() {
    return fresh;
  }
}
