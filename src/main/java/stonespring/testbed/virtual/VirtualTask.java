package stonespring.testbed.virtual;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import stonespring.model.DeciMillis;
import stonespring.model.LoadReport;
import stonespring.model.Settings;
import stonespring.recording.LoadSample;

/**
 * A simulated task: cores, a queue, cold after a start, work for each new connection, and an
 * account of its load.
 */
final class VirtualTask {
  private static final int QUEUE = 200; // ops that wait; more are refused unread
  private static final long HANDSHAKE = 50; // 0.1 ms of a usual core's work for a new connection
  private static final long LOOK_BACK =
      DeciMillis.SECOND; // 0.1 ms over which the busy share is told
  private static final long FALL_OVER =
      2 * DeciMillis.SECOND; // 0.1 ms over which a cold task's load is added up

  /** What becomes of an op here. */
  interface Ending {
    /**
     * @param ran false where it was refused before it was read
     */
    void end(boolean good, boolean ran, LoadReport load);
  }

  private record Job(long work, long until, Ending ending) {}

  private record Sent(long at, double work) {}

  private final EventQueue agenda;
  private final Settings settings;
  private final SplittableRandom random;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final ArrayDeque<long[]> busy = new ArrayDeque<>();
  private final ArrayDeque<Sent> sent = new ArrayDeque<>();
  private final ArrayDeque<Long> ended = new ArrayDeque<>();
  private int zone;
  private int cores;
  private double speed = 1;
  private long startedAt = Long.MIN_VALUE / 2;
  private double claims = 1;
  private int running;
  private int life;
  private double worst;
  private boolean fell;

  VirtualTask(EventQueue agenda, Settings settings, long seed) {
    this.agenda = agenda;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  void ran(LoadSample.ProcessChanged m) {
    life++;
    running = 0;
    queue.clear();
    busy.clear();
    sent.clear();
    ended.clear();
    zone = m.zone();
    cores = m.cores();
    speed = m.speed();
    fell = false;
    startedAt = m.warmingUp() ? agenda.now() : Long.MIN_VALUE / 2;
  }

  void claims(double times) {
    claims = times;
  }

  int zone() {
    return zone;
  }

  boolean up() {
    return cores > 0 && !fell;
  }

  /** The highest share of the fall limit that it was sent while cold. */
  double worst() {
    return worst;
  }

  private double warmth() {
    double age = (double) (agenda.now() - startedAt) / Math.max(1, settings.slowStart().window());
    return age >= 1
        ? 1
        : settings.slowStart().initialFraction()
            + (1 - settings.slowStart().initialFraction()) * age;
  }

  /**
   * An op came; {@code connects} where its proxy had no connection. Nothing ends where the process
   * is gone.
   */
  void take(long usualWork, long until, boolean connects, Ending ending) {
    if (!up()) {
      return;
    }
    if (connects) {
      work(HANDSHAKE, () -> {});
    }
    long work = (long) (usualWork * -Math.log(1 - random.nextDouble()) * 0.5 + usualWork * 0.5);
    if (falls(work)) {
      return;
    }
    if (queue.size() >= QUEUE) {
      ending.end(false, false, load());
      return;
    }
    queue.add(new Job(work, until, ending));
    next();
  }

  private boolean falls(double work) {
    if (warmth() >= 1) {
      return false;
    }
    sent.add(new Sent(agenda.now(), work));
    while (agenda.now() - sent.peek().at > FALL_OVER) {
      sent.poll();
    }
    double bears = settings.slowStart().overloadMultiple() * cores * speed * warmth() * FALL_OVER;
    worst = Math.max(worst, sent.stream().mapToDouble(s -> s.work).sum() / bears);
    fell = worst > 1;
    if (fell) {
      life++;
      queue.clear();
    }
    return fell;
  }

  private void work(long work, Runnable then) {
    long took = Math.max(1, (long) (work / speed / warmth()));
    running++;
    busy.add(new long[] {agenda.now(), agenda.now() + took});
    int mine = life;
    agenda.in(
        took,
        () -> {
          if (mine == life) {
            running--;
            then.run();
            next();
          }
        });
  }

  private void next() {
    while (running < cores && !queue.isEmpty()) {
      Job job = queue.poll();
      if (agenda.now() > job.until) {
        job.ending.end(false, false, load()); // not begun once its time-out has passed
        continue;
      }
      work(
          job.work,
          () -> {
            ended.add(agenda.now());
            job.ending.end(true, true, load());
          });
    }
  }

  private LoadReport load() {
    long now = agenda.now();
    long from = now - LOOK_BACK;
    busy.removeIf(span -> span[1] < from);
    ended.removeIf(at -> at < from);
    double share =
        busy.stream().mapToDouble(s -> Math.min(now, s[1]) - Math.max(from, s[0])).sum()
            / LOOK_BACK
            / Math.max(1, cores);
    return new LoadReport(
        Math.min(1, share / claims), queue.size(), Double.NaN, Double.NaN, ended.size());
  }
}
