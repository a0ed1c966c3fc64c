package stonespring.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runs what serves until it ends or the process is told to stop: an orderly stop either way. */
final class Running {
  private static final long STOP_SECONDS = 10; // s; an orderly stop takes two at the most

  /** Ends what runs, in order. */
  interface Stop {
    void run() throws InterruptedException;
  }

  private Running() {}

  /**
   * Waits, for something that has started. Nothing is stopped that never did: a start that fails
   * tells its own cause.
   *
   * @param end returns what ended it, null where it was stopped
   */
  static int untilTold(String command, Callable<Throwable> end, Stop stop) throws Exception {
    AtomicBoolean told = new AtomicBoolean();
    CountDownLatch done = new CountDownLatch(1);
    Thread hook =
        new Thread(
            () -> {
              told.set(true);
              try {
                stop.run();
                done.await(STOP_SECONDS, TimeUnit.SECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    Throwable failure = end.call();
    if (told.get()) {
      done.countDown(); // the hook ends the process; its exit code is the signal's
      hook.join();
      return Exit.GOOD;
    }
    Runtime.getRuntime().removeShutdownHook(hook);
    stop.run();
    return Exit.fail(Exit.FAILED, command + ": " + failure);
  }
}
