package stonespring.cli;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import stonespring.daemon.Instance;

/** Keeps the process running for a command that serves until it is stopped. */
final class ForegroundProcess {
  /** For an instance to stop and this process to exit after a signal. */
  private static final long STOP_TIMEOUT_SECONDS = 10;

  private ForegroundProcess() {}

  /**
   * Runs an instance until it ends or the process gets a signal; either way it is stopped in order.
   *
   * @param command names the command in an error message
   * @param instance has started
   * @return the exit code; after a signal the process's is the signal's
   */
  static int runUntilStopped(String command, Instance instance) throws InterruptedException {
    AtomicBoolean signalled = new AtomicBoolean();
    CountDownLatch ended = new CountDownLatch(1);
    Thread hook = new Thread(() -> stopOnShutdown(instance, signalled, ended), "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    Optional<Throwable> failure = instance.awaitEnd();
    if (signalled.get()) {
      ended.countDown();
      hook.join();
      return ExitCode.OK;
    }
    Runtime.getRuntime().removeShutdownHook(hook);
    instance.stop();
    String cause = failure.map(Throwable::toString).orElse("stopped");
    return ExitCode.fail(ExitCode.FAILED, command + ": " + cause);
  }

  /** Waits for a signal that ends the process; never returns otherwise. */
  static int runUntilKilled() throws InterruptedException {
    Thread.currentThread().join();
    return ExitCode.OK;
  }

  private static void stopOnShutdown(
      Instance instance, AtomicBoolean signalled, CountDownLatch ended) {
    signalled.set(true);
    try {
      instance.stop();
      ended.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
