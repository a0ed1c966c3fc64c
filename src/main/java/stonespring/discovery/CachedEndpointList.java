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
 * The last known endpoint list on disk, for the next start. It is written beside the old file and
 * renamed, so that a crash leaves the old list or the new one. Thread-safe.
 */
public final class CachedEndpointList {
  private static final Logger LOG = LoggerFactory.getLogger(CachedEndpointList.class);
  private static final long STOP_TIMEOUT_SECONDS = 1;

  private final Path path;
  private final EndpointListCodec codec;
  private final AtomicReference<List<EndpointRecord>> pending = new AtomicReference<>();
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(CachedEndpointList::writerThread);

  /**
   * Creates a cache; reads nothing yet.
   *
   * @param path the file, or null for a cache that keeps nothing
   */
  public CachedEndpointList(Path path, EndpointListCodec codec) {
    this.path = path;
    this.codec = codec;
  }

  private static Thread writerThread(Runnable work) {
    Thread thread = new Thread(work, "endpoint-list-cache");
    thread.setDaemon(true);
    return thread;
  }

  /** Reads the stored list; empty if there is none or, with a warning, if it can't be used. */
  public List<EndpointRecord> read() {
    if (path == null || !Files.exists(path)) {
      return List.of();
    }
    try {
      return codec.read(Files.readAllBytes(path));
    } catch (IOException | InvalidEndpointListException e) {
      LOG.warn("cached endpoint list {} is ignored: {}", path, e.getMessage());
      return List.of();
    }
  }

  /** Stores a list soon, on the writer's thread; it replaces one that is not written yet. */
  public void store(List<EndpointRecord> endpoints) {
    if (path != null && pending.getAndSet(endpoints) == null) {
      writer.execute(() -> write(pending.getAndSet(null)));
    }
  }

  /** Writes a pending list and stops the writer's thread; waits for a second at most. */
  public void stop() throws InterruptedException {
    writer.shutdown();
    writer.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void write(List<EndpointRecord> endpoints) {
    Path temporary = path.resolveSibling(path.getFileName() + ".new");
    try {
      writeAndSync(temporary, ByteBuffer.wrap(codec.write(endpoints)));
      Files.move(
          temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      // Decisions go on from memory; a full disk must not stop them.
      LOG.warn("cached endpoint list {} could not be written: {}", path, e.getMessage());
    }
  }

  private static void writeAndSync(Path file, ByteBuffer bytes) throws IOException {
    try (FileChannel out =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      while (bytes.hasRemaining()) {
        out.write(bytes);
      }
      out.force(true);
    }
  }
}
