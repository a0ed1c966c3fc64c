package stonespring.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;
import stonespring.model.TimerToken;

/**
 * Runs a decision engine and its timers in the same way for every kind of instance. It passes
 * events to the engine, executes the commands of a batch that concern the endpoint list, timers and
 * the log, and returns those that concern proxies. Time is passed in, {@link
 * stonespring.model.DeciMillis}. Not thread-safe.
 */
final class EngineRunner {
  private static final Logger LOG = LoggerFactory.getLogger(EngineRunner.class);

  /** Result of {@link #nextTimerAt} if no timer is running. */
  static final long NO_TIMER = Long.MAX_VALUE;

  /**
   * A running timer. {@code sequence} orders timers that are due at the same time by their start.
   */
  private record Timer(long dueAt, long sequence, TimerToken token) {}

  private final DecisionEngine engine;
  private final EndpointListRequests endpointListRequests;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparing(Timer::sequence));
  private long startedTimerCount;
  private long endedBatchCount;
  private boolean eventsPending;

  EngineRunner(DecisionEngine engine, EndpointListRequests endpointListRequests) {
    this.engine = engine;
    this.endpointListRequests = endpointListRequests;
  }

  /**
   * Passes an event to the engine.
   *
   * @throws DecisionFailedException if the engine throws
   */
  void handle(long now, Event event) {
    eventsPending = true;
    try {
      engine.handle(now, event);
    } catch (RuntimeException | StackOverflowError e) {
      throw new DecisionFailedException(e);
    }
  }

  /**
   * Fires the timers that are due.
   *
   * @return whether any timer was due
   * @throws DecisionFailedException if the engine throws
   */
  boolean fireDueTimers(long now) {
    boolean fired = false;
    while (!timers.isEmpty() && timers.peek().dueAt <= now) {
      handle(now, new Event.TimerFired(timers.poll().token));
      fired = true;
    }
    return fired;
  }

  /** Returns when the next timer is due, or {@link #NO_TIMER} if none is running. */
  long nextTimerAt() {
    return timers.isEmpty() ? NO_TIMER : timers.peek().dueAt;
  }

  /** Returns whether the engine has handled an event since the last batch ended. */
  boolean hasPendingEvents() {
    return eventsPending;
  }

  /**
   * Ends the batch and executes the commands that do not concern proxies.
   *
   * @return the commands that concern proxies, in order
   * @throws DecisionFailedException if the engine throws
   */
  List<Command> endBatch(long now) {
    eventsPending = false;
    endedBatchCount++;
    List<Command> commands;
    try {
      commands = engine.endBatch(now);
    } catch (RuntimeException | StackOverflowError e) {
      throw new DecisionFailedException(e);
    }
    List<Command> proxyCommands = new ArrayList<>();
    for (Command command : commands) {
      if (!executeIfLocal(command, now)) {
        proxyCommands.add(command);
      }
    }
    return proxyCommands;
  }

  /** Executes a command that does not concern proxies; returns false for one that does. */
  private boolean executeIfLocal(Command command, long now) {
    if (command instanceof Command.StartTimer start) {
      // Never due in the batch that starts it, or the engine could keep the thread busy forever.
      long delay = Math.max(1, start.delay());
      timers.add(new Timer(now + delay, startedTimerCount++, start.token()));
    } else if (command instanceof Command.FetchEndpoints) {
      endpointListRequests.fetchEndpoints();
    } else if (command instanceof Command.WatchEndpoints watch) {
      endpointListRequests.watchEndpoints(watch.enabled());
    } else if (command instanceof Command.Log log) {
      LOG.info("decision: {}", log.text());
    } else if (command instanceof Command.HealthCheck || command instanceof Command.SendToPeer) {
      LOG.warn("the decision engine issued an unsupported command, which is ignored: {}", command);
    } else {
      return false;
    }
    return true;
  }

  /** Returns the number of batches that have ended. */
  long endedBatchCount() {
    return endedBatchCount;
  }
}
