package stonespring.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Option;

/** How a command logs: plain lines, or JSON lines; with every order and its cause, or without. */
final class Logs {
  @Option(names = "--log-json", description = "Log JSON lines instead of plain ones.")
  private boolean json;

  @Option(names = "--log-orders", description = "Log every order of the decisions with its cause.")
  private boolean orders;

  @Option(names = "--quiet", description = "Log warnings and errors only.")
  private boolean quiet;

  /** For commands that play days in virtual time: what an instance would log is of no moment. */
  static void warningsOnly() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger("ROOT").setLevel(Level.WARN);
  }

  void set() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    ch.qos.logback.classic.Logger root = context.getLogger("ROOT");
    if (json) {
      root.detachAndStopAllAppenders();
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
      root.addAppender(appender);
    }
    if (quiet) {
      root.setLevel(Level.WARN);
    }
    if (orders) {
      context.getLogger("stonespring.daemon.Core").setLevel(Level.DEBUG);
      context.getLogger("stonespring.front.line.LineFront").setLevel(Level.DEBUG);
    }
  }
}
