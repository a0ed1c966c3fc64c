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
 * The thread that runs an {@link EngineHost}. Jobs from other threads wait in a queue; the thread
 * runs all waiting jobs as one batch and then the host's due work. If a job throws a {@link
 * RuntimeException}, it is logged and the next job runs. The thread ends if the decision engine
 * fails ({@link DecisionFailedException}), if the host's due work throws, or on an {@link Error}.
 *
 * <p>Offered jobs are refused when too many of them wait. Posted jobs are never refused, so only
 * rare ones may be posted, such as updates of the endpoint list and closed connections. Methods may
 * be called from any thread.
 */
final class EngineThread {
  private static final Logger LOG = LoggerFactory.getLogger(EngineThread.class);

  /**
   * Upper limit of the histogram of batch durations; longer batches are recorded as this duration.
   */
  private static final long MAX_BATCH_NANOS = TimeUnit.MINUTES.toNanos(1);

  private static final int BATCH_SIGNIFICANT_DIGITS = 3;
  private static final long STOP_TIMEOUT_SECONDS = 10;

  /** A job on the engine thread. */
  @FunctionalInterface
  interface Job {
    /**
     * Runs the job.
     *
     * @param now the time at the start of the batch, the same for all its jobs, in {@link
     *     stonespring.model.DeciMillis}
     */
    void run(EngineHost host, long now);
  }

  private final InstanceClock clock;
  private final int maxOfferedJobs;
  private final int batchDelayMillis;
  private final LinkedBlockingQueue<Job> queue = new LinkedBlockingQueue<>();
  private final AtomicInteger waitingOfferedJobCount = new AtomicInteger();
  private final AtomicLong refusedJobCount = new AtomicLong();
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile boolean stopping;
  private volatile Optional<Throwable> failure = Optional.empty();

  /** In nanoseconds; written by the engine thread, read only after it has ended. */
  private final DurationHistogram batchDurations =
      new DurationHistogram(MAX_BATCH_NANOS, BATCH_SIGNIFICANT_DIGITS);

  /**
   * Creates the thread without starting it; jobs can be queued already.
   *
   * @param maxOfferedJobs maximum number of offered jobs that wait at a time
   * @param batchDelayMillis how long the first job of a batch waits for others
   */
  EngineThread(InstanceClock clock, int maxOfferedJobs, int batchDelayMillis) {
    this.clock = clock;
    this.maxOfferedJobs = maxOfferedJobs;
    this.batchDelayMillis = batchDelayMillis;
  }

  /** Starts the thread. From then on no other thread may use the host. */
  void start(String name, EngineHost host) {
    Thread thread = new Thread(() -> run(host), name + "-loop");
    thread.setUncaughtExceptionHandler(
        (t, e) -> LOG.error("engine thread ended by an uncaught exception", e));
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
      LOG.error("engine thread failed: the instance ends, its proxies keep their route tables", e);
    } finally {
      ended.countDown();
    }
  }

  /** Waits for a job or for due work, and runs a batch; returns when work is due next. */
  private long runBatch(EngineHost host, long wakeAt) throws InterruptedException {
    long waitDeciMillis = Math.max(0, wakeAt - clock.now());
    Job job = queue.poll(InstanceClock.toMicros(waitDeciMillis), TimeUnit.MICROSECONDS);
    if (job != null && batchDelayMillis > 0) {
      Thread.sleep(batchDelayMillis); // collects jobs that arrive together
    }
    long startedNanos = System.nanoTime();
    long now = clock.now();
    while (job != null) {
      runJob(job, host, now);
      job = queue.poll();
    }
    long batchesBefore = host.endedBatchCount();
    long nextAt = host.runDue(now);
    if (host.endedBatchCount() > batchesBefore) {
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
      LOG.error("a message or event could not be processed and is dropped", e);
    }
  }

  /** Queues a job; returns false if too many offered jobs wait or the thread is stopping. */
  boolean offer(Job job) {
    if (waitingOfferedJobCount.incrementAndGet() > maxOfferedJobs || stopping) {
      waitingOfferedJobCount.decrementAndGet();
      refusedJobCount.incrementAndGet();
      return false;
    }
    queue.add(
        (host, now) -> {
          waitingOfferedJobCount.decrementAndGet();
          job.run(host, now);
        });
    return true;
  }

  /** Queues a job, however many wait. */
  void post(Job job) {
    queue.add(job);
  }

  /**
   * Ends the thread after its current batch, and waits up to {@link #STOP_TIMEOUT_SECONDS} for its
   * end.
   */
  void stop() throws InterruptedException {
    stopping = true;
    post((host, now) -> {}); // wakes the thread
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
   * Returns the durations of batches with events, from the first job to the last published update,
   * in nanoseconds. May be called only after the thread has ended.
   */
  DurationHistogram batchDurations() {
    return batchDurations;
  }

  /** Returns the number of offered jobs that were refused. */
  long refusedJobCount() {
    return refusedJobCount.get();
  }
}
