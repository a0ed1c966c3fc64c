package stonespring.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * The list in a file, looked at again and again: a file system's own notices differ between systems
 * and get lost. A file that can't be read, or not as a list, changes nothing: the last good one
 * holds, and one line says so.
 */
public final class FileEndpointSource implements EndpointSource {
  private static final Logger LOG = LoggerFactory.getLogger(FileEndpointSource.class);
  private static final long LOOK_MILLIS = 200; // ms; well under any grace
  private static final long BYTES_MOST =
      64L << 20; // of the file; far above the most tasks of a list

  private final Path path;
  private final EndpointListCodec entries;
  private final EventLoop loop;
  private final EndpointListDiff diff = new EndpointListDiff();
  private Consumer<Event.EndpointListUpdate> told;
  private Consumer<List<EndpointRecord>> list;
  private byte[] last = new byte[0];
  private String lastFault = "";
  private Future<?> looks;

  public FileEndpointSource(Path path, EndpointListCodec entries, EventLoop loop) {
    this.path = path;
    this.entries = entries;
    this.loop = loop;
  }

  @Override
  public void start(Consumer<Event.EndpointListUpdate> to, Consumer<List<EndpointRecord>> listTo) {
    told = to;
    list = listTo;
    looks = loop.scheduleWithFixedDelay(this::look, 0, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void look() {
    try {
      if (Files.size(path) > BYTES_MOST) {
        throw new IOException("it is over " + BYTES_MOST + " bytes");
      }
      byte[] bytes = Files.readAllBytes(path);
      if (!Arrays.equals(bytes, last)) {
        Event.EndpointListUpdate event = diff.next(entries.read(bytes));
        last = bytes;
        if (event != null) {
          told.accept(event);
          list.accept(diff.list());
        }
      }
      lastFault = "";
    } catch (IOException | EndpointListCodec.BadList e) {
      if (!lastFault.equals(e.toString())) {
        LOG.warn(
            "list file {}: the last list holds: {}",
            path,
            e instanceof java.nio.file.NoSuchFileException
                ? "there is no such file"
                : e.getMessage());
      }
      lastFault = e.toString();
    }
  }

  @Override
  public void follow(boolean on) {
    // It is looked at in any case.
  }

  @Override
  public void fetch() {
    loop.execute(
        () ->
            told.accept(
                diff.list().isEmpty()
                    ? new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of())
                    : new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, diff.list())));
  }

  @Override
  public void stop() {
    looks.cancel(false);
  }
}
