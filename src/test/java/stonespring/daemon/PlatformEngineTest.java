package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;

/**
 * Tests batches, restarts and the stop of the decision engine on the platform, with scripted
 * engines.
 */
final class PlatformEngineTest {
  private static final RouteTableId TABLE = new RouteTableId(1);
  private static final String FAILURE_MESSAGE = "failure injected by the test";

  @RegisterExtension final PlatformFixture platform = new PlatformFixture();

  /**
   * An engine that returns at the end of each batch the commands it queued while it handled events.
   */
  private abstract static class ScriptedEngine implements DecisionEngine {
    private final List<Command> queued = new ArrayList<>();

    void setRoute(String endpoint, double weight) {
      queued.add(new Command.SetRoute(TABLE, new EndpointId(endpoint), weight));
    }

    void assignTable(ProxyId proxy) {
      queued.add(new Command.AssignRouteTable(TABLE, proxy, 0));
    }

    @Override
    public List<Command> endBatch(long now) {
      List<Command> commands = List.copyOf(queued);
      queued.clear();
      return commands;
    }
  }

  /** Fails when a proxy connects: with an error for proxy 3, with an exception for all others. */
  private static final class FailingEngine extends ScriptedEngine {
    @Override
    public void handle(long now, Event event) {
      if (event instanceof Event.ProxyConnected connected) {
        if (connected.proxy().number() == 3) {
          throw new NoClassDefFoundError(FAILURE_MESSAGE);
        }
        throw new IllegalStateException(FAILURE_MESSAGE);
      }
    }
  }

  /** Replaces a failed engine. */
  private static final class SucceedingEngine extends ScriptedEngine {
    @Override
    public void handle(long now, Event event) {
      if (event instanceof Event.ProxyConnected connected) {
        assertFalse(
            connected.withoutTables(), "the proxy may hold route tables of the failed engine");
        setRoute("s-1", 1);
        assignTable(connected.proxy());
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3}) // proxy 2: exception, proxy 3: error
  void restartsFailedEngineWithoutClosingConnections(int proxyId) throws Exception {
    List<DecisionEngine> engines = new ArrayList<>();
    PlatformDaemon daemon =
        platform.createDaemon(
            (settings, seed, now) -> {
              engines.add(engines.isEmpty() ? new FailingEngine() : new SucceedingEngine());
              return engines.get(engines.size() - 1);
            });
    daemon.start();
    LineClient proxy = platform.connect(daemon.port());
    proxy.send("SUBSCRIBE id=" + proxyId + " site=west rps=3.0 new=1");
    assertEquals("CONFIG replace=1 rows=s-1:1 undrop=s-1", proxy.readLine());
    assertEquals(2, engines.size());
    daemon.stop();
  }

  @Test
  void endsWithEngineFailureWhenEveryRestartFails() throws Exception {
    PlatformDaemon daemon = platform.createDaemon((settings, seed, now) -> new FailingEngine());
    daemon.start();
    LineClient proxy = platform.connect(daemon.port());
    proxy.send("SUBSCRIBE id=2 site=west rps=3.0 new=1");
    assertEquals(FAILURE_MESSAGE, daemon.awaitEnd().orElseThrow().getMessage());
    daemon.stop();
  }

  /** Guards against ten vain restarts while a class can't be loaded. */
  @Test
  void endsAtOnceWhenRestartedEngineMeetsSameLinkageError() throws Exception {
    List<DecisionEngine> engines = new ArrayList<>();
    PlatformDaemon daemon =
        platform.createDaemon(
            (settings, seed, now) -> {
              engines.add(new FailingEngine());
              return engines.get(engines.size() - 1);
            });
    daemon.start();
    LineClient proxy = platform.connect(daemon.port());
    proxy.send("SUBSCRIBE id=3 site=west rps=3.0 new=1");
    assertEquals(
        "java.lang.NoClassDefFoundError: " + FAILURE_MESSAGE,
        daemon.awaitEnd().orElseThrow().toString());
    assertEquals(2, engines.size(), "the first engine and one restart");
    daemon.stop();
  }

  /** Blocks at a report until the test resumes it, and then changes the route table. */
  private static final class EngineBlockedByReport extends ScriptedEngine {
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch resume = new CountDownLatch(1);

    @Override
    public void handle(long now, Event event) {
      if (event instanceof Event.ProxyConnected connected) {
        setRoute("s-1", 1);
        assignTable(connected.proxy());
      } else if (event instanceof Event.ProxyRequestRate) {
        blocked.countDown();
        await(resume);
        setRoute("s-2", 0.5);
      }
    }
  }

  /**
   * A proxy's connection breaks and the proxy connects again while the engine changes its route
   * table. The change must not be sent on the new connection, whose first message is the whole
   * table.
   */
  @Test
  void sendsNoUpdateOfOldConnectionOnNewConnection() throws Exception {
    EngineBlockedByReport engine = new EngineBlockedByReport();
    PlatformDaemon daemon = platform.createDaemon((settings, seed, now) -> engine);
    daemon.start();
    LineClient old = platform.connect(daemon.port());
    old.send("SUBSCRIBE id=2 site=west rps=3.0 new=1");
    assertEquals("CONFIG replace=1 rows=s-1:1", old.readLine());
    old.send("RATE id=2 lane=look count=1 fail=0 over=500");
    engine.blocked.await();
    old.close();
    LineClient newer = platform.connect(daemon.port());
    newer.send("SUBSCRIBE id=2 site=west rps=3.0 new=0");
    engine.resume.countDown();
    assertEquals("CONFIG replace=1 rows=s-1:1,s-2:0.5 undrop=s-1,s-2", newer.readLine());
    daemon.stop();
  }

  /** Records the proxies that connect, and blocks at each one until the test resumes it. */
  private static final class EngineBlockedByConnection extends ScriptedEngine {
    private final List<Event> connected = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch resume = new CountDownLatch(1);

    @Override
    public void handle(long now, Event event) {
      if (event instanceof Event.ProxyConnected) {
        connected.add(event);
        blocked.countDown();
        await(resume);
      }
    }
  }

  /** The stop begins while a batch runs and the message of a second proxy waits in its socket. */
  @Test
  void runsNoBatchAfterStopHasBegun() throws Exception {
    EngineBlockedByConnection engine = new EngineBlockedByConnection();
    PlatformDaemon daemon = platform.createDaemon((settings, seed, now) -> engine);
    daemon.start();
    LineClient first = platform.connect(daemon.port());
    LineClient second = platform.connect(daemon.port());
    second.send("PING");
    assertEquals("PONG", second.readLine());
    first.send("SUBSCRIBE id=2 site=west rps=3.0 new=1");
    engine.blocked.await();
    second.send("SUBSCRIBE id=3 site=west rps=3.0 new=1");
    Thread stop = new Thread(() -> stop(daemon));
    stop.start();
    while (stop.getState() != Thread.State.TIMED_WAITING
        && stop.getState() != Thread.State.WAITING) {
      Thread.onSpinWait(); // until it waits for the event loop to run what it queued there
    }
    engine.resume.countDown();
    stop.join();
    assertEquals(1, engine.connected.size(), engine.connected.toString());
  }

  private static void stop(PlatformDaemon daemon) {
    try {
      daemon.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
