package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.daemon.PlatformFixture.endpoint;
import static stonespring.daemon.PlatformFixture.endpointList;

import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import stonespring.config.InvalidConfigException;
import stonespring.config.PlatformConfig;
import stonespring.model.DeciMillis;

/**
 * Tests how the platform's configuration is read at the start and reloaded with and without SIGHUP.
 */
final class PlatformConfigurationTest {
  @RegisterExtension final PlatformFixture platform = new PlatformFixture();

  private static void writeToPipe(OutputStream pipe, String text) throws Exception {
    pipe.write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Answers the first watch with version 5 of the endpoint list. */
  private EndpointListRequest answerFirstWatch() throws Exception {
    EndpointListRequest watch = platform.acceptListRequest(platform.discovery());
    watch.beginWatch(endpointList(5, endpoint("s-1", "west")));
    return watch;
  }

  /**
   * Two signals arrive shortly after each other and are handled on threads of their own. The first
   * reload reads an older configuration from a pipe that the test holds back, the second one reads
   * a newer file. The older configuration must not be applied last.
   */
  @Test
  void appliesNewerConfigurationWhenTwoReloadsOverlap() throws Exception {
    platform.writeConfig(platform.config());
    PlatformProcess process = platform.startProcess();
    process.awaitPort();
    answerFirstWatch();
    ServerSocket older = platform.listen();
    ServerSocket newer = platform.listen();
    platform.replaceConfigWithPipe();
    process.sendSighup();
    try (OutputStream pipe = Files.newOutputStream(platform.configFile())) { // waits for the reader
      platform.replaceConfig(platform.config(newer));
      process.sendSighup();
      process.awaitThreadsOrLog("SIGHUP handler", 2, "discovery address changed from");
      writeToPipe(pipe, platform.config(older));
    }
    // Whether or not the older address is contacted, the newer one is used in the end.
    EndpointListRequest last = platform.acceptListRequest(newer);
    last.beginWatch(endpointList(6, endpoint("s-1", "west")));
    process.awaitLog("/127.0.0.1:" + newer.getLocalPort() + " responded");
    process.awaitLog(
        "discovery address changed from /127.0.0.1:"
            + older.getLocalPort()
            + " to /127.0.0.1:"
            + newer.getLocalPort());
  }

  /**
   * The signal arrives while the first read of the configuration waits for a pipe that the test
   * holds back.
   */
  @Test
  void reloadsAfterStartWhenSignalArrivesDuringStart() throws Exception {
    ServerSocket newer = platform.listen();
    platform.replaceConfigWithPipe();
    PlatformProcess process = platform.startProcess();
    try (OutputStream pipe = Files.newOutputStream(platform.configFile())) { // waits for the reader
      platform.replaceConfig(platform.config(newer));
      process.sendSighup();
      writeToPipe(pipe, platform.config());
    }
    assertEquals(
        "/registry/instances?stream=1&index=4", platform.acceptListRequest(newer).target());
  }

  /** The old address ends the watch and accepts no connections; no signal is sent. */
  @Test
  void followsDiscoveryToNewAddressWithoutSignal() throws Exception {
    platform.writeConfig(platform.config());
    PlatformProcess process = platform.startProcess();
    process.awaitPort();
    EndpointListRequest watch = answerFirstWatch();
    ServerSocket moved = platform.listen();
    platform.writeConfig(platform.config(moved));
    platform.discovery().close();
    watch.close();
    assertEquals(
        "/registry/instances?stream=1&index=5", platform.acceptListRequest(moved).target());
  }

  /**
   * The process is started with SIGHUP ignored, as by nohup, so that its signal handler is never
   * called.
   */
  @Test
  void followsDiscoveryToNewAddressAndLogsThatSighupIsIgnored() throws Exception {
    platform.writeConfig(platform.config());
    PlatformProcess process = platform.startProcessAfter("trap '' HUP");
    process.awaitPort();
    process.awaitLog("SIGHUP is ignored");
    EndpointListRequest watch = answerFirstWatch();
    ServerSocket moved = platform.listen();
    platform.writeConfig(platform.config(moved));
    process.sendSighup();
    platform.discovery().close();
    watch.close();
    assertEquals(
        "/registry/instances?stream=1&index=5", platform.acceptListRequest(moved).target());
  }

  /**
   * The setting {@code pushed} describes discovery in the simulator; on the platform the endpoint
   * list must be watched in any case.
   */
  @Test
  void watchesEndpointListWhenSettingsSayThatItIsPushed() throws Exception {
    platform.writeConfig(platform.config().replace("\"on_request\"", "\"pushed\""));
    PlatformDaemon daemon = new PlatformDaemon(PlatformConfig.read(platform.configFile()));
    daemon.start();
    assertEquals(
        "/registry/instances?stream=1&index=4",
        platform.acceptListRequest(platform.discovery()).target());
    daemon.stop();
  }

  /** The platform's limit is 6 s; settings may allow less after a failed request. */
  @Test
  void readsShorterNotificationDelayOfSettingsAndPlatform() throws Exception {
    assertEquals(6 * DeciMillis.SECOND, readMaxNotificationDelay(""));
    assertEquals(6 * DeciMillis.SECOND, readMaxNotificationDelay("\"askEveryS\":10.0,"));
    assertEquals(4 * DeciMillis.SECOND, readMaxNotificationDelay("\"askEveryS\":1.0,"));
  }

  private long readMaxNotificationDelay(String rule) throws Exception {
    platform.writeConfig(platform.config().replace("\"rules\":{", "\"rules\":{" + rule));
    return PlatformConfig.read(platform.configFile())
        .settings()
        .settings()
        .endpointList()
        .maxNotificationDelay();
  }

  @Test
  void rejectsInvalidConfigurationWithOneLineThatNamesTheField() throws Exception {
    String good = PlatformFixture.config(1);
    String[][] configsAndErrors = {
      {"{", "line 1"},
      {"[]", "must contain a JSON object"},
      {good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "field 'listen'"},
      {
        good.replace("\"backlog\":3000", "\"backlog\":\"x\""),
        "field 'settings': field 'backlog' must be a number, got"
      },
      {
        good.replace("\"proxyCount\":8", "\"proxyCount\":0"),
        "field 'proxyCount' must be at least 1, got 0"
      },
      {good.replace("\"roundS\":0.001", "\"roundS\":-1"), "field 'roundS' must be a number from 0"},
      {good.replace("\"reportEveryS\":0.5", "\"reportEveryS\":0"), "field 'reportEveryS'"},
      {good.replace("[\"west\",\"east\"]", "[]"), "field 'zones' must have at least 1 item, got 0"},
      {
        good.replace("\"pushRate\":1500.0", "\"pushRate\":1e300"),
        "field 'pushRate' must be a number from 0"
      },
      {good.replace("\"127.0.0.1:1\"", "\"127.0.0.999:1\""), "field 'discovery'"},
      {good.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"?\""), "field 'seed'"},
      {good.replace("\"sockets\":256", "\"sockets\":0"), "limits.sockets"}
    };
    Path file = platform.file("bad.json");
    for (String[] configAndError : configsAndErrors) {
      Files.writeString(file, configAndError[0]);
      Exception e =
          assertThrows(
              InvalidConfigException.class,
              () -> PlatformConfig.read(file),
              "invalid configuration accepted: " + configAndError[0]);
      assertTrue(
          e.getMessage().contains(configAndError[1]) && !e.getMessage().contains("\n"),
          e.getMessage());
    }
    platform.writeConfig("{}");
    PlatformProcess process = platform.startProcess();
    assertEquals(2, process.awaitExitCode());
    String log = process.log();
    assertTrue(log.startsWith("stonespring: ") && log.contains("field 'settings' is missing"), log);
    assertEquals(1, log.lines().count(), log);
    assertFalse(process.isAlive());
  }
}
