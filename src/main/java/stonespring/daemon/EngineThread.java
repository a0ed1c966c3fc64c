package stonespring.daemon;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The thread that drives an {@link EngineHost}: jobs from other threads wait in a queue, those of
 * one batch are run together, then the host does what is due. A job that throws a {@link
 * RuntimeException} is logged and the next one runs; a failure of the decision engine ({@link
 * DecisionFailedException}), of the host's own work after the jobs, or an {@link Error} ends the
 * thread.
 *
 * <p>Jobs that are offered are refused when the queue is full; those that are posted are not, so
 * only jobs that are few may be posted. Methods may be called from any thread.
 */
final class EngineThread {
  private static final Logger LOG = LoggerFactory.getLogger(EngineThread.class);
  private static final long MAX_BATCH_NANOS = TimeUnit.MINUTES.toNanos(1);
  private static final int BATCH_SIGNIFICANT_DIGITS = 3;
  private static final long STOP_TIMEOUT_SECONDS = 10;

  /** A job on the engine thread. */
  @FunctionalInterface
  interface Job {
    /**
     * Runs the job.
     *
     * @param now the clock, the same for all jobs of a batch; {@link stonespring.model.DeciMillis}
     */
    void run(EngineHost host, long now);
  }

  private final InstanceClock clock;
  private final int maxOfferedJobs;
  private final int batchDelayMillis;
  private final LinkedBlockingQueue<Job> queue = new LinkedBlockingQueue<>();
  private final AtomicInteger offeredJobs = new AtomicInteger();
  private final AtomicLong refusedJobs = new AtomicLong();
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile boolean stopping;
  private volatile Optional<Throwable> failure = Optional.empty();

  /** Nanoseconds; written by the engine thread, read after its end. */
  private final DurationHistogram batchDurations =
      new DurationHistogram(MAX_BATCH_NANOS, BATCH_SIGNIFICANT_DIGITS);

  /**
   * Creates a thread that does not run yet; its queue takes jobs already.
   *
   * @param maxOfferedJobs offered jobs that may wait
   * @param batchDelayMillis how long a batch's first job waits for others
   */
  EngineThread(InstanceClock clock, int maxOfferedJobs, int batchDelayMillis) {
    this.clock = clock;
    this.maxOfferedJobs = maxOfferedJobs;
    this.batchDelayMillis = batchDelayMillis;
  }

  /** Starts the thread. The host must not be used by any other thread from now on. */
  void start(String name, EngineHost host) {
    Thread thread = new Thread(() -> run(host), name + "-loop");
    thread.setUncaughtExceptionHandler((t, e) -> LOG.error("event loop ended", e));
    thread.start();
  }

  private void run(EngineHost host) {
    try {
      long wakeAt = clock.now();
      while (!stopping) {
        wakeAt = runBatch(host, wakeAt);
      }
    } catch (DecisionFailedException e) {
      failure = Optional.of(e.getCause());
      LOG.error(
          "the decision engine failed: the instance ends, its proxies keep their route tables",
          e.getCause());
    } catch (InterruptedException e) {
      failure = Optional.of(e);
    } catch (RuntimeException | Error e) {
      failure = Optional.of(e);
      LOG.error("event loop failed: the instance ends, its proxies keep their route tables", e);
    } finally {
      ended.countDown();
    }
  }

  /** Waits for jobs or the time, and runs a batch; returns when something is due next. */
  private long runBatch(EngineHost host, long wakeAt) throws InterruptedException {
    long waitDeciMillis = Math.max(0, wakeAt - clock.now());
    Job job = queue.poll(InstanceClock.toMicros(waitDeciMillis), TimeUnit.MICROSECONDS);
    if (job != null && batchDelayMillis > 0) {
      Thread.sleep(batchDelayMillis); // for jobs that arrive together
    }
    long startedNanos = System.nanoTime();
    long now = clock.now();
    while (job != null) {
      runJob(job, host, now);
      job = queue.poll();
    }
    long batchesBefore = host.endedBatches();
    long nextAt = host.runDue(now);
    if (host.endedBatches() > batchesBefore) {
      batchDurations.record(System.nanoTime() - startedNanos);
    }
    return nextAt;
  }

  private static void runJob(Job job, EngineHost host, long now) {
    try {
      job.run(host, now);
    } catch (DecisionFailedException e) {
      throw e;
    } catch (RuntimeException e) {
      LOG.error("a message could not be processed", e);
    }
  }

  /** Queues a job; returns false if there is no room or the thread stops. */
  boolean offer(Job job) {
    if (offeredJobs.incrementAndGet() > maxOfferedJobs || stopping) {
      offeredJobs.decrementAndGet();
      refusedJobs.incrementAndGet();
      return false;
    }
    queue.add(
        (host, now) -> {
          offeredJobs.decrementAndGet();
          job.run(host, now);
        });
    return true;
  }

  /** Queues a job, whether or not there is room. */
  void post(Job job) {
    queue.add(job);
  }

  /** Ends the thread after the batch that it runs, and waits for that. */
  void stop() throws InterruptedException {
    stopping = true;
    post((host, now) -> {}); // wakes it
    ended.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Waits until the thread has ended.
   *
   * @return the failure that ended it, empty if it was stopped
   */
  Optional<Throwable> awaitEnd() throws InterruptedException {
    ended.await();
    return failure;
  }

  /**
   * Returns how long batches with events took, from their first job to their last update, in
   * nanoseconds. To be used after the thread's end.
   */
  DurationHistogram batchDurations() {
    return batchDurations;
  }

  /** Returns how many offered jobs were refused. */
  long refusedJobs() {
    return refusedJobs.get();
  }
}
