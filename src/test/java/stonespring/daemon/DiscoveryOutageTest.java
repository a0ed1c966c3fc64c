package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.daemon.PlatformFixture.endpoint;
import static stonespring.daemon.PlatformFixture.endpointList;

import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import stonespring.config.PlatformConfig;

/** Tests when an instance asks a discovery server again that has failed to deliver the list. */
final class DiscoveryOutageTest {
  private static final int REFUSED_REQUESTS = 3;

  /** Time after a change of the list from which an instance counts as notified of it. */
  private static final long MAX_NOTIFICATION_DELAY_MILLIS = 6_000;

  /** Time that the answer to the next request may take. */
  private static final long ANSWER_MILLIS = 2_000;

  private static final long MAX_WAIT_MILLIS = MAX_NOTIFICATION_DELAY_MILLIS - ANSWER_MILLIS;

  /** Interval at which the server sends pieces of a message. */
  private static final int PIECE_INTERVAL_MILLIS = 250;

  @RegisterExtension final PlatformFixture platform = new PlatformFixture();

  private PlatformDaemon startDaemon() throws Exception {
    platform.writeConfig(platform.config());
    PlatformDaemon daemon = new PlatformDaemon(PlatformConfig.read(platform.configFile()));
    daemon.start();
    return daemon;
  }

  /** Ends the first watch and refuses the requests that follow. */
  private void endWatchAndRefuseRequests() throws Exception {
    EndpointListRequest watch = platform.acceptListRequest(platform.discovery());
    watch.beginWatch(endpointList(5, endpoint("s-1", "west")));
    watch.close();
    for (int request = 0; request < REFUSED_REQUESTS; request++) {
      platform.acceptListRequest(platform.discovery()).refuse();
    }
  }

  private void assertAskedInTime(ServerSocket discoveryServer, long changedAtNanos)
      throws Exception {
    platform.acceptListRequest(discoveryServer);
    assertInTime(changedAtNanos);
  }

  private static void assertInTime(long changedAtNanos) {
    long waitMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - changedAtNanos);
    assertTrue(
        waitMillis <= MAX_WAIT_MILLIS,
        "expected a request within " + MAX_WAIT_MILLIS + " ms, waited " + waitMillis);
  }

  /**
   * Guards against a wait in which a drain counts as notified while the instance has not asked for
   * it: the watch ends, three requests are refused, and an endpoint drains just afterwards.
   */
  @Test
  void asksAgainBeforeItCountsAsNotifiedAfterThreeRefusals() throws Exception {
    PlatformDaemon daemon = startDaemon();
    endWatchAndRefuseRequests();
    assertAskedInTime(platform.discovery(), System.nanoTime());
    daemon.stop();
  }

  /**
   * Guards against the same wait when the server moves in the meantime: no watch is open that would
   * be started again at the new address at once.
   */
  @Test
  void asksNewAddressBeforeItCountsAsNotifiedAfterThreeRefusals() throws Exception {
    PlatformDaemon daemon = startDaemon();
    endWatchAndRefuseRequests();
    long movedAtNanos = System.nanoTime();
    ServerSocket moved = platform.listen();
    platform.writeConfig(platform.config(moved));
    daemon.reload(PlatformConfig.read(platform.configFile()));
    assertAskedInTime(moved, movedAtNanos);
    daemon.stop();
  }

  /**
   * Guards against waiting too long for the rest of a message: the server begins a message about a
   * change, and sends pieces of it without ever completing it.
   */
  @Test
  void asksAgainBeforeItCountsAsNotifiedOfChangeInIncompleteMessage() throws Exception {
    PlatformDaemon daemon = startDaemon();
    EndpointListRequest watch = platform.acceptListRequest(platform.discovery());
    watch.beginWatch(endpointList(5, endpoint("s-1", "west")));
    long changedAtNanos = System.nanoTime();
    sendPiecesUntilNextRequest(watch);
    assertInTime(changedAtNanos);
    daemon.stop();
  }

  private void sendPiecesUntilNextRequest(EndpointListRequest watch) throws Exception {
    platform.discovery().setSoTimeout(PIECE_INTERVAL_MILLIS);
    boolean asked = false;
    while (!asked) {
      watch.sendPiece(" ");
      try {
        platform.acceptListRequest(platform.discovery());
        asked = true;
      } catch (SocketTimeoutException e) {
        // The instance still waits for the rest of the message.
      }
    }
  }
}
