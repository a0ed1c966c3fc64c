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
    CountDownLatch instanceEnded = new CountDownLatch(1);
    Thread shutdownHook =
        new Thread(() -> stopOnShutdown(instance, signalled, instanceEnded), "stop");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    Optional<Throwable> failure = instance.awaitEnd();
    if (signalled.get()) {
      instanceEnded.countDown();
      shutdownHook.join();
      return ExitCode.OK;
    }
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    instance.stop();
    String cause = failure.map(Throwable::toString).orElse("stopped");
    return ExitCode.printError(ExitCode.FAILED, command + ": " + cause);
  }

  /** Waits for a signal that ends the process; never returns otherwise. */
  static int runUntilKilled() throws InterruptedException {
    Thread.currentThread().join();
    return ExitCode.OK;
  }

  private static void stopOnShutdown(
      Instance instance, AtomicBoolean signalled, CountDownLatch instanceEnded) {
    signalled.set(true);
    try {
      instance.stop();
      instanceEnded.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
