package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.discovery.PlatformListServer.entry;
import static stonespring.discovery.PlatformListServer.message;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import stonespring.http.Connector;

/** A platform source that is connected to a test server, and the updates that it reports. */
final class PlatformSourceFixture implements BeforeEachCallback, AfterEachCallback {
  private static final long UNIX_OFFSET_DECI_MILLIS = 500;

  final PlatformEndpointList list = newList();
  final EndpointUpdates updates = new EndpointUpdates();
  PlatformListServer server;
  PlatformEndpointSource source;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<PlatformListServer> servers = new ArrayList<>();

  static PlatformEndpointList newList() {
    return new PlatformEndpointList(
        new PlatformEndpointCodec(List.of("west", "east"), UNIX_OFFSET_DECI_MILLIS));
  }

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    server = newServer();
    source = new PlatformEndpointSource(server.address(), list, new Connector(loop()));
    source.start(updates, EndpointUpdates::ignoreList);
  }

  EventLoop loop() {
    return (EventLoop) loops.next();
  }

  /** Starts another server, which is closed after the test. */
  PlatformListServer newServer() throws IOException {
    PlatformListServer listServer = new PlatformListServer();
    servers.add(listServer);
    return listServer;
  }

  /** Loads a cached list of the given version that contains endpoint s-1. */
  void loadCachedList(int version) throws IOException {
    var cached =
        source.loadCachedList(
            Optional.of(
                new ObjectMapper().readTree(message(version, true, entry("s-1", "Ready")))));
    assertEquals(
        "CACHED s-1/READY/1/1.5/9500",
        EndpointUpdates.describe(cached),
        "the start time is converted to the instance's clock");
  }

  @Override
  public void afterEach(ExtensionContext context) throws IOException {
    source.stop();
    for (PlatformListServer listServer : servers) {
      listServer.close();
    }
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
