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
  private static final long HANDSHAKE_WORK_DECI_MILLIS = 50;

  /** The span that reported utilization and request rate are taken over, deci-milliseconds. */
  private static final long REPORT_WINDOW_DECI_MILLIS = DeciMillis.SECOND;

  /** The span over which work received while warming up is summed, deci-milliseconds. */
  private static final long OVERLOAD_WINDOW_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** The part of a request's usual work that does not vary. */
  private static final double CONSTANT_WORK_FRACTION = 0.5;

  /** A start so long ago that warm-up is over. */
  private static final long WARMED_UP_START = Long.MIN_VALUE / 2;

  private record QueuedRequest(long work, long deadline, Consumer<AttemptResult> onEnd) {}

  private record ReceivedWork(long at, double work) {}

  private record BusyInterval(long start, long end) {}

  private final EventQueue events;
  private final Settings settings;
  private final SplittableRandom random;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final ArrayDeque<BusyInterval> busyIntervals = new ArrayDeque<>();
  private final ArrayDeque<ReceivedWork> receivedWarmUpWork = new ArrayDeque<>();
  private final ArrayDeque<Long> completions = new ArrayDeque<>();
  private int zone;
  private int cores;
  private double speed = 1;
  private long startedAt = WARMED_UP_START;
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
    receivedWarmUpWork.clear();
    completions.clear();
    zone = process.zone();
    cores = process.cores();
    speed = process.speed();
    overloaded = false;
    startedAt = process.warmingUp() ? events.now() : WARMED_UP_START;
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
   * @param meanWork mean work of its request class, deci-milliseconds
   * @param deadline when the request times out
   * @param newConnection whether its proxy opened a connection for it
   * @param onEnd called when the attempt ends; never if the process stops before
   */
  void receive(long meanWork, long deadline, boolean newConnection, Consumer<AttemptResult> onEnd) {
    if (!isRunning()) {
      return;
    }
    if (newConnection) {
      occupyCore(HANDSHAKE_WORK_DECI_MILLIS, () -> {});
    }
    long work = drawWork(meanWork);
    if (recordWarmUpWork(work)) {
      return;
    }
    if (queue.size() >= MAX_QUEUE_LENGTH) {
      onEnd.accept(AttemptResult.rejected(currentLoad()));
      return;
    }
    queue.add(new QueuedRequest(work, deadline, onEnd));
    startQueuedRequests();
  }

  private long drawWork(long meanWork) {
    double exponential = -Math.log(1 - random.nextDouble());
    return (long)
        (meanWork * exponential * (1 - CONSTANT_WORK_FRACTION) + meanWork * CONSTANT_WORK_FRACTION);
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

  private boolean recordWarmUpWork(double work) {
    double fraction = warmUpFraction();
    if (fraction >= 1) {
      return false;
    }
    receivedWarmUpWork.add(new ReceivedWork(events.now(), work));
    while (events.now() - receivedWarmUpWork.peek().at > OVERLOAD_WINDOW_DECI_MILLIS) {
      receivedWarmUpWork.poll();
    }
    double workLimit =
        settings.slowStart().overloadMultiple()
            * cores
            * speed
            * fraction
            * OVERLOAD_WINDOW_DECI_MILLIS;
    double receivedWork = receivedWarmUpWork.stream().mapToDouble(ReceivedWork::work).sum();
    peakWarmUpLoad = Math.max(peakWarmUpLoad, receivedWork / workLimit);
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
            startQueuedRequests();
          }
        });
  }

  /** Gives waiting requests to idle cores; those that timed out while waiting are not executed. */
  private void startQueuedRequests() {
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
    long windowStart = now - REPORT_WINDOW_DECI_MILLIS;
    busyIntervals.removeIf(interval -> interval.end < windowStart);
    completions.removeIf(at -> at < windowStart);
    double busyTime =
        busyIntervals.stream()
            .mapToDouble(
                interval -> Math.min(now, interval.end) - Math.max(windowStart, interval.start))
            .sum();
    double utilization = busyTime / REPORT_WINDOW_DECI_MILLIS / Math.max(1, cores);
    return new LoadReport(
        Math.min(1, utilization / claimedCapacityMultiple),
        queue.size(),
        Double.NaN,
        Double.NaN,
        completions.size());
  }
}
