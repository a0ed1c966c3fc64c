package stonespring.testbed.virtual;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import stonespring.model.DeciMillis;
import stonespring.model.LoadReport;
import stonespring.model.Settings;
import stonespring.recording.LoadSample;

/**
 * A simulated endpoint: a queue in front of some cores, slower while it warms up, that reports its
 * load with each answer. It fails for good if it gets too much work while it warms up, until its
 * process starts anew. Times and amounts of work are in {@link DeciMillis}, work as the time that a
 * core of speed 1 takes for it.
 */
final class VirtualEndpoint {
  /** Requests that may wait for a core; those above are rejected. */
  private static final int MAX_QUEUE_LENGTH = 200;

  /** Work for a new connection, deci-milliseconds. */
  private static final long HANDSHAKE_WORK = 50;

  /** The span that reported utilization and request rate are taken over, deci-milliseconds. */
  private static final long REPORT_WINDOW = DeciMillis.SECOND;

  /** The span over which work received while warming up is summed, deci-milliseconds. */
  private static final long OVERLOAD_WINDOW = 2 * DeciMillis.SECOND;

  /** The part of a request's usual work that does not vary. */
  private static final double CONSTANT_WORK_FRACTION = 0.5;

  /** A start so long ago that warm-up is over. */
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private record QueuedRequest(long work, long deadline, Consumer<AttemptResult> onEnd) {}

  private record ReceivedWork(long at, double work) {}

  private record BusyInterval(long start, long end) {}

  private final EventQueue events;
  private final Settings settings;
  private final SplittableRandom random;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final ArrayDeque<BusyInterval> busyIntervals = new ArrayDeque<>();
  private final ArrayDeque<ReceivedWork> warmUpWork = new ArrayDeque<>();
  private final ArrayDeque<Long> completions = new ArrayDeque<>();
  private int zone;
  private int cores;
  private double speed = 1;
  private long startedAt = LONG_AGO;
  private double claimedCapacityMultiple = 1;
  private int busyCores;
  private int processGeneration;
  private double peakWarmUpLoad;
  private boolean overloaded;

  VirtualEndpoint(EventQueue events, Settings settings, long seed) {
    this.events = events;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /** Replaces the process; all requests of the old one are lost without an answer. */
  void restart(LoadSample.ProcessChanged process) {
    processGeneration++;
    busyCores = 0;
    queue.clear();
    busyIntervals.clear();
    warmUpWork.clear();
    completions.clear();
    zone = process.zone();
    cores = process.cores();
    speed = process.speed();
    overloaded = false;
    startedAt = process.warmingUp() ? events.now() : LONG_AGO;
  }

  /** From now on reports utilization as if it had this multiple of its capacity. */
  void claimCapacity(double multiple) {
    claimedCapacityMultiple = multiple;
  }

  /** Position of the endpoint's zone. */
  int zone() {
    return zone;
  }

  boolean isRunning() {
    return cores > 0 && !overloaded;
  }

  /** The most work received while warming up, as a fraction of what makes the endpoint fail. */
  double peakWarmUpLoad() {
    return peakWarmUpLoad;
  }

  /**
   * Receives an attempt.
   *
   * @param usualWork mean work of its request class, deci-milliseconds
   * @param deadline when the request times out
   * @param newConnection whether its proxy opened a connection for it
   * @param onEnd called when the attempt ends; never if the process stops before
   */
  void receive(
      long usualWork, long deadline, boolean newConnection, Consumer<AttemptResult> onEnd) {
    if (!isRunning()) {
      return;
    }
    if (newConnection) {
      occupyCore(HANDSHAKE_WORK, () -> {});
    }
    long work = drawWork(usualWork);
    if (overloadsWhileWarmingUp(work)) {
      return;
    }
    if (queue.size() >= MAX_QUEUE_LENGTH) {
      onEnd.accept(AttemptResult.rejected(currentLoad()));
      return;
    }
    queue.add(new QueuedRequest(work, deadline, onEnd));
    startQueued();
  }

  private long drawWork(long usualWork) {
    double exponential = -Math.log(1 - random.nextDouble());
    return (long)
        (usualWork * exponential * (1 - CONSTANT_WORK_FRACTION)
            + usualWork * CONSTANT_WORK_FRACTION);
  }

  /** The fraction of its speed that the process has reached. */
  private double warmUpFraction() {
    Settings.SlowStart slowStart = settings.slowStart();
    double progress = (double) (events.now() - startedAt) / Math.max(1, slowStart.window());
    if (progress >= 1) {
      return 1;
    }
    return slowStart.initialFraction() + (1 - slowStart.initialFraction()) * progress;
  }

  private boolean overloadsWhileWarmingUp(double work) {
    double fraction = warmUpFraction();
    if (fraction >= 1) {
      return false;
    }
    warmUpWork.add(new ReceivedWork(events.now(), work));
    while (events.now() - warmUpWork.peek().at > OVERLOAD_WINDOW) {
      warmUpWork.poll();
    }
    double limit =
        settings.slowStart().overloadMultiple() * cores * speed * fraction * OVERLOAD_WINDOW;
    double received = warmUpWork.stream().mapToDouble(ReceivedWork::work).sum();
    peakWarmUpLoad = Math.max(peakWarmUpLoad, received / limit);
    overloaded = peakWarmUpLoad > 1;
    if (overloaded) {
      processGeneration++;
      queue.clear();
    }
    return overloaded;
  }

  private void occupyCore(long work, Runnable onDone) {
    long duration = Math.max(1, (long) (work / speed / warmUpFraction()));
    busyCores++;
    busyIntervals.add(new BusyInterval(events.now(), events.now() + duration));
    int generation = processGeneration;
    events.scheduleAfter(
        duration,
        () -> {
          if (generation == processGeneration) {
            busyCores--;
            onDone.run();
            startQueued();
          }
        });
  }

  /** Gives waiting requests to idle cores; those that timed out while waiting are not executed. */
  private void startQueued() {
    while (busyCores < cores && !queue.isEmpty()) {
      QueuedRequest request = queue.poll();
      if (events.now() > request.deadline) {
        request.onEnd.accept(AttemptResult.rejected(currentLoad()));
      } else {
        occupyCore(request.work, () -> complete(request));
      }
    }
  }

  private void complete(QueuedRequest request) {
    completions.add(events.now());
    request.onEnd.accept(AttemptResult.succeeded(currentLoad()));
  }

  private LoadReport currentLoad() {
    long now = events.now();
    long windowStart = now - REPORT_WINDOW;
    busyIntervals.removeIf(interval -> interval.end < windowStart);
    completions.removeIf(at -> at < windowStart);
    double busyTime =
        busyIntervals.stream()
            .mapToDouble(
                interval -> Math.min(now, interval.end) - Math.max(windowStart, interval.start))
            .sum();
    double utilization = busyTime / REPORT_WINDOW / Math.max(1, cores);
    return new LoadReport(
        Math.min(1, utilization / claimedCapacityMultiple),
        queue.size(),
        Double.NaN,
        Double.NaN,
        completions.size());
  }
}
