package stonespring.proxyapi.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import stonespring.line.LineLimits;
import stonespring.line.LineServer;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;
import stonespring.model.ZoneId;
import stonespring.proxyapi.NameTable;

/**
 * Runs a {@link PlatformProxyApi} on a loopback listener, with the zones west and east, the request
 * classes look and buy, ten proxies, and the listed endpoints s-1 and s-2.
 */
final class PlatformApiFixture implements BeforeEachCallback, AfterEachCallback {
  /** Limit of connections with an incomplete handshake. */
  static final int MAX_PENDING_HANDSHAKES = 4;

  /** Limit of open connections: the proxies, and a few more. */
  static final int MAX_CONNECTIONS = 16;

  /** Maximum duration of a wait; in a passing test, every wait ends earlier with its event. */
  private static final int MAX_WAIT_MILLIS = 10_000;

  private static final int HANDSHAKE_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_LINE_BYTES = 400;
  private static final int MAX_PENDING_WRITE_BYTES = 4096;
  private static final String SUBSCRIBE = "SUBSCRIBE id=3 site=east rps=2.5 new=1";

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop eventLoop = (EventLoop) eventLoops.next();
  private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final List<Client> clients = new ArrayList<>();
  private PlatformProxyApi api;
  private LineServer listener;

  /** A peer on a plain socket, which shares no code with the tested server. */
  final class Client {
    private final Socket socket = new Socket();
    private final BufferedReader in;

    Client() throws IOException {
      socket.setReceiveBufferSize(4096);
      socket.connect(new InetSocketAddress("127.0.0.1", listener.port()), MAX_WAIT_MILLIS);
      socket.setSoTimeout(MAX_WAIT_MILLIS);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      clients.add(this);
    }

    Client send(String... lines) throws IOException {
      out().write((String.join("\r\n", lines) + "\r\n").getBytes(StandardCharsets.UTF_8));
      return this;
    }

    OutputStream out() throws IOException {
      return socket.getOutputStream();
    }

    /** Returns the next line; null if the connection was closed or reset. */
    String receive() throws IOException {
      try {
        return in.readLine();
      } catch (SocketException e) {
        return null;
      }
    }

    void assertAnswersKeepAlive() throws IOException {
      send("PING");
      assertEquals("PONG", receive());
    }

    void close() throws IOException {
      socket.close();
    }
  }

  @Override
  public void beforeEach(ExtensionContext context) throws Exception {
    startListener(HANDSHAKE_TIMEOUT_MILLIS);
  }

  /** Starts an API and a listener with the given handshake timeout, in place of earlier ones. */
  void startListener(int handshakeTimeoutMillis) throws Exception {
    if (listener != null) {
      listener.stop();
    }
    api =
        new PlatformProxyApi(
            new NameTable(List.of("west", "east"), List.of("look", "buy")), 10, events::add);
    listener =
        new LineServer(
                new LineLimits(
                    MAX_LINE_BYTES,
                    MAX_PENDING_HANDSHAKES,
                    MAX_CONNECTIONS,
                    handshakeTimeoutMillis,
                    MAX_PENDING_WRITE_BYTES),
                api)
            .start(eventLoops, new InetSocketAddress("127.0.0.1", 0));
    updateEndpointList(Event.ListUpdateKind.CACHED, List.of(endpoint("s-1"), endpoint("s-2")));
  }

  @Override
  public void afterEach(ExtensionContext context) throws Exception {
    for (Client client : clients) {
      client.close();
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  PlatformProxyApi api() {
    return api;
  }

  /** Runs a task on the event loop, and waits until it is complete. */
  void runOnEventLoop(Runnable work) throws InterruptedException {
    eventLoop.submit(work).sync();
  }

  /** Runs a task on the event loop, and returns without waiting for it. */
  void executeOnEventLoop(Runnable work) {
    eventLoop.execute(work);
  }

  void updateEndpointList(Event.ListUpdateKind kind, List<EndpointRecord> endpoints)
      throws InterruptedException {
    runOnEventLoop(() -> api.updateEndpointList(new Event.EndpointListUpdate(kind, endpoints)));
  }

  void execute(Command... commands) throws InterruptedException {
    runOnEventLoop(() -> api.execute(List.of(commands), 5));
  }

  /** Waits for the next event; returns null if none occurs within the maximum wait. */
  Event nextEvent() throws InterruptedException {
    return events.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the next event if one has occurred, or null. */
  Event pollEvent() {
    return events.poll();
  }

  boolean hasNoEvents() {
    return events.isEmpty();
  }

  Client connect() throws IOException {
    return new Client();
  }

  /** Connects proxy 3 of zone east, which has no tables, and awaits the event. */
  Client connectProxy() throws Exception {
    Client client = connect().send(SUBSCRIBE);
    assertEquals(new Event.ProxyConnected(new ProxyId(3), new ZoneId(1), 2.5, true), nextEvent());
    return client;
  }

  static EndpointRecord endpoint(String name) {
    return new EndpointRecord(
        new EndpointId(name), new ZoneId(1), 1, EndpointRecord.State.READY, 0);
  }

  static Command.SetRoute route(int table, String endpoint, double weight) {
    return new Command.SetRoute(new RouteTableId(table), new EndpointId(endpoint), weight);
  }

  /** Assigns a table to proxy 3 for all request classes. */
  static Command.AssignRouteTable assign(int table) {
    return new Command.AssignRouteTable(new RouteTableId(table), new ProxyId(3), 0);
  }
}
