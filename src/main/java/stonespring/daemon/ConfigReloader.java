package stonespring.daemon;

import java.nio.file.Path;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.config.InvalidConfigException;
import stonespring.config.PlatformConfig;

/**
 * Reads the platform's configuration again: on request, and after each failed fetch of the endpoint
 * list, since the address of discovery may have changed without a request. Only that address is
 * applied, see {@link PlatformDaemon#reload}. A file that can't be used leaves the configuration as
 * it is. Thread-safe.
 */
public final class ConfigReloader {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigReloader.class);

  private final Path file;
  private final AtomicBoolean backgroundReloadRunning = new AtomicBoolean();
  private PlatformDaemon daemon; // null before attach; guarded by this
  private boolean reloadRequested; // guarded by this

  /** Creates a reloader that notes requests until an instance is attached. */
  public ConfigReloader(Path file) {
    this.file = file;
  }

  /** Attaches an instance that has started; a reload requested before is done now. */
  public synchronized void attach(PlatformDaemon started) {
    daemon = started;
    if (reloadRequested) {
      reload();
    }
    daemon.onFetchFailed(this::reloadInBackground);
  }

  /**
   * Reads the file and applies it. Concurrent requests are done one after the other, so that no
   * older file is applied last.
   */
  public synchronized void reload() {
    if (daemon == null) {
      reloadRequested = true;
      return;
    }
    try {
      daemon.reload(PlatformConfig.read(file));
    } catch (RejectedExecutionException e) {
      LOG.info("the new configuration arrived after the instance's end");
    } catch (InvalidConfigException e) {
      LOG.warn("the new configuration is not used, the old one stands: {}", e.getMessage());
    }
  }

  /** Reloads on a thread of its own, unless one does already; does not block. */
  private void reloadInBackground() {
    if (!backgroundReloadRunning.compareAndSet(false, true)) {
      return;
    }
    Thread thread = new Thread(this::runBackgroundReload, "configuration");
    thread.setDaemon(true); // a file that can't be read to its end must not delay the exit
    try {
      thread.start();
    } catch (OutOfMemoryError e) {
      backgroundReloadRunning.set(false); // no thread is available: the next failure tries again
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
