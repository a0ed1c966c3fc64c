package stonespring.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.EndpointRecord;

/**
 * The last list that was heard, on disk: written beside and renamed, so that a cut leaves the old
 * one or the new.
 */
public final class CachedEndpointList {
  private static final Logger LOG = LoggerFactory.getLogger(CachedEndpointList.class);
  private final Path path;
  private final EndpointListCodec entries;
  private final AtomicReference<List<EndpointRecord>> waiting = new AtomicReference<>();
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(
          work -> {
            Thread thread = new Thread(work, "saved-list");
            thread.setDaemon(true);
            return thread;
          });

  public CachedEndpointList(Path path, EndpointListCodec entries) {
    this.path = path;
    this.entries = entries;
  }

  /** The list as last seen; empty where there is none or it can't be read, which one line says. */
  public List<EndpointRecord> read() {
    if (path == null || !Files.exists(path)) {
      return List.of();
    }
    try {
      return entries.read(Files.readAllBytes(path));
    } catch (IOException | EndpointListCodec.BadList e) {
      LOG.warn("saved list {}: not used: {}", path, e.getMessage());
      return List.of();
    }
  }

  /**
   * Has the list written soon, on a thread of its own; a newer one replaces one that still waits.
   */
  public void keep(List<EndpointRecord> list) {
    if (path != null && waiting.getAndSet(list) == null) {
      writer.execute(() -> write(waiting.getAndSet(null)));
    }
  }

  /** Writes out what waits, and ends. */
  public void stop() throws InterruptedException {
    writer.shutdown();
    writer.awaitTermination(1, TimeUnit.SECONDS);
  }

  private void write(List<EndpointRecord> list) {
    Path beside = path.resolveSibling(path.getFileName() + ".new");
    try (FileChannel out =
        FileChannel.open(
            beside,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer bytes = ByteBuffer.wrap(entries.write(list));
      while (bytes.hasRemaining()) {
        out.write(bytes);
      }
      out.force(true);
      Files.move(beside, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      // Decisions go on from memory: a disk that is full must not stop them.
      LOG.warn("saved list {}: not written: {}", path, e.getMessage());
    }
  }
}
