package stonespring.testbed.virtual;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import stonespring.model.DeciMillis;
import stonespring.model.LoadReport;
import stonespring.model.Settings;
import stonespring.recording.LoadSample;

/**
 * A simulated endpoint: a queue served by a number of cores, which are slower during warm-up. It
 * reports its load with each answer. If it receives too much work during warm-up, it fails and
 * stays down until its process is restarted. Times are in {@link DeciMillis}, and so are amounts of
 * work, as the time that a core of speed 1 needs.
 */
final class VirtualEndpoint {
  /** Maximum number of requests waiting for a core; further ones are rejected. */
  private static final int MAX_QUEUE_LENGTH = 200;

  /** Work of accepting a connection. */
  private static final long HANDSHAKE_WORK_DECI_MILLIS = 50;

  /** Window over which the reported utilization and request rate are measured. */
  private static final long REPORT_WINDOW_DECI_MILLIS = DeciMillis.SECOND;

  /** Window over which work received during warm-up is summed. */
  private static final long OVERLOAD_WINDOW_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** Fraction of a request's mean work that is constant; the rest is exponentially distributed. */
  private static final double CONSTANT_WORK_FRACTION = 0.5;

  /** Start time of a process without warm-up, long before any recording. */
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

  /** Replaces the process. All requests at the old process are lost without an answer. */
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

  /** Reports utilization from now on as if the capacity were this multiple of the real one. */
  void claimCapacity(double multiple) {
    claimedCapacityMultiple = multiple;
  }

  /** Returns the index of the endpoint's zone. */
  int zone() {
    return zone;
  }

  boolean isRunning() {
    return cores > 0 && !overloaded;
  }

  /** Returns the peak work received during warm-up as a fraction of the overload limit. */
  double peakWarmUpLoad() {
    return peakWarmUpLoad;
  }

  /**
   * Receives an attempt.
   *
   * @param meanWork mean work of its request class, deci-milliseconds
   * @param deadline when the request times out
   * @param newConnection whether the proxy opened a connection for the attempt
   * @param onEnd called when the attempt ends; never called if the process stops or fails before
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

  /** Returns the fraction of its full speed that the process has reached, up to 1. */
  private double warmUpFraction() {
    Settings.SlowStart slowStart = settings.slowStart();
    double progress = (double) (events.now() - startedAt) / Math.max(1, slowStart.window());
    if (progress >= 1) {
      return 1;
    }
    return slowStart.initialFraction() + (1 - slowStart.initialFraction()) * progress;
  }

  /** Records received work during warm-up; returns whether it made the endpoint fail. */
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

  /** Starts waiting requests on idle cores; rejects those that timed out while waiting. */
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
