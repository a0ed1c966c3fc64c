package stonespring.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * An endpoint list in a file. The file is polled, because change notifications of file systems
 * differ between operating systems and can be lost. If the file can't be read or holds no valid
 * list, the last valid list stays in use, and a warning is logged once for consecutive polls with
 * the same error. Mutable state is confined to the event loop.
 */
public final class FileEndpointSource implements EndpointSource {
  private static final Logger LOG = LoggerFactory.getLogger(FileEndpointSource.class);

  /** The interval is well below any grace period for requests to a draining endpoint. */
  private static final long POLL_INTERVAL_MILLIS = 200;

  private static final long MAX_FILE_BYTES = 64L << 20;

  private final Path path;
  private final EndpointListCodec codec;
  private final EventLoop loop;
  private final EndpointListDiff diff = new EndpointListDiff();
  private SourceListeners listeners;

  /** The file's content at the last poll that found a valid list; empty before the first one. */
  private byte[] lastContent = new byte[0];

  /** The error of the last poll; empty if it succeeded. */
  private String lastError = "";

  private Future<?> pollTask;

  /** Creates a source; polling begins with {@link #start}, on the given event loop. */
  public FileEndpointSource(Path path, EndpointListCodec codec, EventLoop loop) {
    this.path = path;
    this.codec = codec;
    this.loop = loop;
  }

  @Override
  public void start(
      Consumer<Event.EndpointListUpdate> updateListener,
      Consumer<List<EndpointRecord>> listListener) {
    listeners = new SourceListeners(updateListener, listListener);
    pollTask =
        loop.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    try {
      readIfChanged();
      lastError = "";
    } catch (IOException | InvalidEndpointListException e) {
      if (!lastError.equals(e.toString())) {
        LOG.warn(
            "endpoint list file {} can't be used, keeping the last list: {}", path, describe(e));
      }
      lastError = e.toString();
    }
  }

  private void readIfChanged() throws IOException, InvalidEndpointListException {
    if (Files.size(path) > MAX_FILE_BYTES) {
      throw new IOException("the file exceeds " + MAX_FILE_BYTES + " bytes");
    }
    byte[] content = Files.readAllBytes(path);
    if (Arrays.equals(content, lastContent)) {
      return;
    }
    Optional<Event.EndpointListUpdate> update = diff.replaceList(codec.read(content));
    lastContent = content;
    update.ifPresent(changed -> listeners.notifyUpdated(changed, diff.currentList()));
  }

  private static String describe(Exception e) {
    return e instanceof NoSuchFileException ? "the file does not exist" : e.getMessage();
  }

  @Override
  public void setWatchEnabled(boolean enabled) {
    // The file is polled whether or not a watch is enabled.
  }

  @Override
  public void fetch() {
    loop.execute(
        () -> {
          List<EndpointRecord> list = diff.currentList();
          if (list.isEmpty()) {
            listeners.notifyFailed();
          } else {
            listeners
                .updateListener()
                .accept(new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, list));
          }
        });
  }

  @Override
  public void stop() {
    pollTask.cancel(false);
  }
}
