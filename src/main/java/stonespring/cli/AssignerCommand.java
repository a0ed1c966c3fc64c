package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import stonespring.config.InvalidConfigException;
import stonespring.config.PlatformConfig;
import stonespring.daemon.PlatformDaemon;
import sun.misc.Signal;
import sun.misc.SignalHandler;

@Command(
    name = "assigner",
    mixinStandardHelpOptions = true,
    description = "Runs an assigner on the operators' platform until it is told to stop.")
final class AssignerCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(AssignerCommand.class);

  @Parameters(
      paramLabel = "FILE",
      defaultValue = "${env:NODE_CONFIG}",
      description = "The platform's configuration; NODE_CONFIG names it where this is left out.")
  private Path path;

  @Mixin private Logs logs;

  private final AtomicBoolean looking = new AtomicBoolean();
  private PlatformDaemon daemon;
  private boolean reloadDue;

  @Override
  public Integer call() throws Exception {
    // Without a handler of ours a hang-up ends the process; one that comes during the start waits
    // for its end.
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> reload());
    logs.set();
    if (before == SignalHandler.SIG_IGN) {
      // So it is under nohup and its like, and the virtual machine leaves it so: no handler of ours
      // is ever told.
      LOG.warn(
          "hang-ups are ignored, as whoever started this process wants it: a new configuration is seen where discovery fails");
    }
    if (path == null || path.toString().isEmpty()) {
      return Exit.fail(Exit.USAGE, "NODE_CONFIG: it is not set, and no file is named");
    }
    PlatformDaemon started;
    try {
      started = new PlatformDaemon(PlatformConfig.read(path));
    } catch (InvalidConfigException e) {
      return Exit.fail(Exit.USAGE, e.getMessage());
    }
    started.start();
    started(started);
    return Running.untilTold("assigner", started::awaitEnd, started::stop);
  }

  private synchronized void started(PlatformDaemon by) {
    daemon = by;
    if (reloadDue) {
      reload();
    }
    // A hang-up can be lost, or come before its file: an assigner that then asked the old address
    // of discovery for
    // good would never hear of a drain again. Where that address fails, the file may name another
    // one.
    daemon.whenListFails(
        () -> {
          if (looking.compareAndSet(false, true)) {
            Thread look = new Thread(this::look, "configuration");
            look.setDaemon(
                true); // a file that can't be read to its end must not hold up the process's own
            try {
              look.start();
            } catch (OutOfMemoryError e) {
              looking.set(false); // no thread is to be had now: the next failure looks again
            }
          }
        });
  }

  private void look() {
    try {
      reload();
    } finally {
      looking.set(false);
    }
  }

  /**
   * One after the other: each signal has a thread of its own, and the older file must not be
   * applied last.
   */
  private synchronized void reload() {
    if (daemon == null) {
      reloadDue = true;
      return;
    }
    try {
      daemon.reloaded(PlatformConfig.read(path));
    } catch (RejectedExecutionException e) {
      LOG.info("the new configuration comes after the end");
    } catch (InvalidConfigException e) {
      LOG.warn("the new configuration is not used, the old one holds: {}", e.getMessage());
    }
  }
}
