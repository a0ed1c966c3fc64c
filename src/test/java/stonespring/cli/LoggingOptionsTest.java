package stonespring.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import stonespring.daemon.EngineHost;
import stonespring.proxyapi.platform.PlatformProxyApi;

/** Tests the log levels that the logging options set. */
final class LoggingOptionsTest {
  private final Logger root = logger(Logger.ROOT_LOGGER_NAME);
  private final Level rootLevel = root.getLevel();
  private final Logger engineHost = logger(EngineHost.class.getName());
  private final Logger platformApi = logger(PlatformProxyApi.class.getName());

  private static Logger logger(String name) {
    return (Logger) LoggerFactory.getLogger(name);
  }

  @AfterEach
  void restoreLevels() {
    root.setLevel(rootLevel);
    engineHost.setLevel(null);
    platformApi.setLevel(null);
  }

  private static void apply(String... arguments) {
    LoggingOptions options = new LoggingOptions();
    new CommandLine(options).parseArgs(arguments);
    options.apply();
  }

  @Test
  void logsRouteTableUpdatesOfBothProtocolsOnlyWithLogOrders() {
    apply();
    assertFalse(engineHost.isDebugEnabled());
    assertFalse(platformApi.isDebugEnabled());
    apply("--log-orders");
    assertTrue(engineHost.isDebugEnabled());
    assertTrue(platformApi.isDebugEnabled());
  }

  @Test
  void logsWarningsOnlyWhenQuiet() {
    apply("--quiet");
    assertTrue(engineHost.isWarnEnabled());
    assertFalse(engineHost.isInfoEnabled());
  }
}
