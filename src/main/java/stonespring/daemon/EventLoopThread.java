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
 * The thread that drives an {@link EngineHost}: tasks from other threads wait in a queue, those of
 * one batch are run together, then the host does what is due. A task that fails affects no other; a
 * failure of the decision engine ends the thread.
 *
 * <p>Tasks that are offered are refused when the queue is full; those that are posted are not, so
 * only tasks that are few may be posted. Methods may be called from any thread.
 */
final class EventLoopThread {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopThread.class);
  private static final long MAX_BATCH_NANOS = TimeUnit.MINUTES.toNanos(1);
  private static final int BATCH_DIGITS = 3;
  private static final long STOP_TIMEOUT_SECONDS = 10;

  /** A task on the loop's thread. */
  @FunctionalInterface
  interface Task {
    /**
     * Runs the task.
     *
     * @param now the clock, the same for all tasks of a batch; {@link stonespring.model.DeciMillis}
     */
    void run(EngineHost host, long now);
  }

  private final InstanceClock clock;
  private final int maxOfferedTasks;
  private final int batchDelayMillis;
  private final LinkedBlockingQueue<Task> queue = new LinkedBlockingQueue<>();
  private final AtomicInteger offeredTasks = new AtomicInteger();
  private final AtomicLong refusedTasks = new AtomicLong();
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile boolean stopping;
  private volatile Optional<Throwable> failure = Optional.empty();

  /** Nanoseconds; written by the loop's thread, read after its end. */
  private final DurationHistogram batches = new DurationHistogram(MAX_BATCH_NANOS, BATCH_DIGITS);

  /**
   * Creates a loop that does not run yet; its queue takes tasks already.
   *
   * @param maxOfferedTasks offered tasks that may wait
   * @param batchDelayMillis how long a batch's first task waits for others
   */
  EventLoopThread(InstanceClock clock, int maxOfferedTasks, int batchDelayMillis) {
    this.clock = clock;
    this.maxOfferedTasks = maxOfferedTasks;
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

  /** Waits for tasks or the time, and runs a batch; returns when something is due next. */
  private long runBatch(EngineHost host, long wakeAt) throws InterruptedException {
    long wait = Math.max(0, wakeAt - clock.now());
    Task task = queue.poll(InstanceClock.toMicros(wait), TimeUnit.MICROSECONDS);
    if (task != null && batchDelayMillis > 0) {
      Thread.sleep(batchDelayMillis); // for tasks that arrive together
    }
    long startedNanos = System.nanoTime();
    long now = clock.now();
    while (task != null) {
      runTask(task, host, now);
      task = queue.poll();
    }
    long batchesBefore = host.endedBatches();
    long nextAt = host.runDue(now);
    if (host.endedBatches() > batchesBefore) {
      batches.record(System.nanoTime() - startedNanos);
    }
    return nextAt;
  }

  private static void runTask(Task task, EngineHost host, long now) {
    try {
      task.run(host, now);
    } catch (DecisionFailedException e) {
      throw e;
    } catch (RuntimeException e) {
      LOG.error("a message could not be processed", e);
    }
  }

  /** Queues a task; returns false if there is no room or the loop stops. */
  boolean offer(Task task) {
    if (offeredTasks.incrementAndGet() > maxOfferedTasks || stopping) {
      offeredTasks.decrementAndGet();
      refusedTasks.incrementAndGet();
      return false;
    }
    queue.add(
        (host, now) -> {
          offeredTasks.decrementAndGet();
          task.run(host, now);
        });
    return true;
  }

  /** Queues a task, whether or not there is room. */
  void post(Task task) {
    queue.add(task);
  }

  /** Ends the loop after the batch that it runs, and waits for that. */
  void stop() throws InterruptedException {
    stopping = true;
    post((host, now) -> {}); // wakes it
    ended.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Waits until the loop has ended.
   *
   * @return the failure that ended it, empty if it was stopped
   */
  Optional<Throwable> awaitEnd() throws InterruptedException {
    ended.await();
    return failure;
  }

  /**
   * Returns how long batches with events took, from their first task to their last update, in
   * nanoseconds. To be used after the loop's end.
   */
  DurationHistogram batches() {
    return batches;
  }

  /** Returns how many offered tasks were refused. */
  long refusedTasks() {
    return refusedTasks.get();
  }
}
