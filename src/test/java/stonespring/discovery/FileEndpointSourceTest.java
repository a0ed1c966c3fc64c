package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.discovery.EndpointLists.delta;
import static stonespring.discovery.EndpointLists.endpoint;
import static stonespring.discovery.EndpointLists.snapshot;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonespring.model.EndpointRecord;

final class FileEndpointSourceTest {
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EndpointUpdates updates = new EndpointUpdates();

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void reportsChangesAndIgnoresInvalidList(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("endpoints.json");
    String a =
        "{\"id\":\"a\",\"address\":\"127.0.0.1:80\",\"zone\":\"east\",\"weight\":3,\"started_ms\":1000}";
    Files.writeString(file, "[" + a + "]");
    FileEndpointSource source =
        new FileEndpointSource(file, EndpointLists.codec(), (EventLoop) loops.next());
    source.start(updates, EndpointUpdates::ignoreList);
    assertEquals(snapshot(endpoint("a", 3, EndpointRecord.State.READY)), updates.next());
    Files.writeString(file, "[" + a + ", half a list");
    Files.writeString(file, "[" + a.replace("}", ",\"state\":\"draining\"}") + "]");
    assertEquals(delta(endpoint("a", 3, EndpointRecord.State.DRAINING)), updates.next());
    Files.writeString(file, "[]");
    assertEquals(delta(endpoint("a", 3, EndpointRecord.State.REMOVED)), updates.next());
    source.stop();
  }
}
