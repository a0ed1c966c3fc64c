package stonespring.daemon;

import java.nio.file.Path;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.config.InvalidConfigException;
import stonespring.config.PlatformConfig;

/**
 * Reloads the platform's configuration file: on request, and after each failed fetch of the
 * endpoint list, since the discovery address may have changed without a request. Only that address
 * is applied, see {@link PlatformDaemon#reload}. If the file is invalid, the current configuration
 * stays in use; if it could not be read, the reload is retried until it can. Thread-safe.
 */
public final class ConfigReloader {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigReloader.class);

  private static final long RETRY_MILLIS = 1_000;

  private final Path file;
  private final AtomicBoolean backgroundReloadRunning = new AtomicBoolean();
  private PlatformDaemon daemon; // null before attach; guarded by this
  private boolean reloadRequested; // guarded by this
  private boolean retryPending; // guarded by this
  private boolean lastReadFailed; // guarded by this

  /**
   * Creates a reloader. A reload that is requested before {@link #attach} is postponed until then.
   */
  public ConfigReloader(Path file) {
    this.file = file;
  }

  /** Attaches an instance that has started, and runs the postponed reload if there is one. */
  public synchronized void attach(PlatformDaemon started) {
    daemon = started;
    if (reloadRequested) {
      reload();
    }
    daemon.onFetchFailed(this::reloadInBackground);
  }

  /**
   * Reads the file and applies it. Concurrent calls run one after the other, so that an older
   * version of the file is never applied after a newer one.
   */
  public synchronized void reload() {
    if (daemon == null) {
      reloadRequested = true;
      return;
    }
    try {
      PlatformConfig newConfig = PlatformConfig.read(file);
      lastReadFailed = false;
      daemon.reload(newConfig);
    } catch (RejectedExecutionException e) {
      LOG.info("the new configuration is not used: the instance has stopped already");
    } catch (InvalidConfigException e) {
      handleInvalid(e);
    }
  }

  private void handleInvalid(InvalidConfigException e) {
    if (!e.isReadFailure()) {
      lastReadFailed = false;
      LOG.warn(
          "the new configuration is not used, the current one stays in effect: {}", e.getMessage());
      return;
    }
    if (!lastReadFailed) {
      LOG.warn(
          "the new configuration is not used yet, reading it is retried every {} ms: {}",
          RETRY_MILLIS,
          e.getMessage());
    }
    lastReadFailed = true;
    if (!retryPending) {
      retryPending = startBackgroundThread(this::retry);
    }
  }

  private void retry() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    synchronized (this) {
      retryPending = false;
      reload();
    }
  }

  /** Reloads on a new thread, unless a background reload is running already. Does not block. */
  private void reloadInBackground() {
    if (!backgroundReloadRunning.compareAndSet(false, true)) {
      return;
    }
    if (!startBackgroundThread(this::runBackgroundReload)) {
      backgroundReloadRunning.set(false); // the next failed fetch retries
    }
  }

  /** Starts a thread; returns false if none could be created. */
  private static boolean startBackgroundThread(Runnable action) {
    Thread thread = new Thread(action, "configuration");
    thread.setDaemon(true); // a blocked read of the file must not delay the exit
    try {
      thread.start();
      return true;
    } catch (OutOfMemoryError e) {
      return false;
    }
  }

  private void runBackgroundReload() {
    try {
      reload();
    } finally {
      backgroundReloadRunning.set(false);
    }
  }
}
