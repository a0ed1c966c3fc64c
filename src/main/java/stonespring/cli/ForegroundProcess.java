package stonespring.cli;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import stonespring.daemon.Instance;

/** Keeps the process of a command running until the command fails or a signal stops it. */
final class ForegroundProcess {
  /**
   * Maximum time to wait, after a signal, for a stopped instance to end before the process exits.
   */
  private static final long STOP_TIMEOUT_SECONDS = 10;

  private ForegroundProcess() {}

  /**
   * Waits until an instance ends or the process receives a signal, and stops the instance cleanly
   * in both cases.
   *
   * @param command name of the command for error messages
   * @param instance an instance that has started
   * @return the exit code of the command; after a signal, the process exits with the signal's code
   *     instead
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

  /** Blocks until a signal ends the process; never returns normally. */
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
