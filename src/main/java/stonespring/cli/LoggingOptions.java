package stonespring.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Option;
import stonespring.daemon.EngineHost;
import stonespring.proxyapi.platform.PlatformProxyApi;

/** The logging options that several commands share. */
final class LoggingOptions {
  @Option(names = "--log-json", description = "Write log lines as JSON instead of plain text.")
  private boolean json;

  @Option(
      names = "--log-orders",
      description = "Log each update that is sent to a proxy, with its cause where known.")
  private boolean logCommands;

  @Option(names = "--quiet", description = "Log warnings and errors only.")
  private boolean quiet;

  /** Makes the process log warnings and errors only; for commands that replay in virtual time. */
  static void logWarningsOnly() {
    rootLogger().setLevel(Level.WARN);
  }

  /** Configures the logging of the process by these options. */
  void apply() {
    Logger root = rootLogger();
    if (json) {
      root.detachAndStopAllAppenders();
      root.addAppender(jsonAppender(root.getLoggerContext()));
    }
    if (quiet) {
      root.setLevel(Level.WARN);
    }
    if (logCommands) {
      // These classes log each update of a proxy's route tables, one class for each protocol.
      root.getLoggerContext().getLogger(EngineHost.class).setLevel(Level.DEBUG);
      root.getLoggerContext().getLogger(PlatformProxyApi.class).setLevel(Level.DEBUG);
    }
  }

  private static Logger rootLogger() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    return context.getLogger(Logger.ROOT_LOGGER_NAME);
  }

  private static ConsoleAppender<ILoggingEvent> jsonAppender(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithFormattedMessage(true);
    encoder.setWithMessage(false);
    encoder.setWithArguments(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }
}
