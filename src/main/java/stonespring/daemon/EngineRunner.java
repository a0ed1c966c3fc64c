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
 * A decision engine with its timers, as every instance drives it: events go in, a batch is ended,
 * commands about the endpoint list, timers and the log are carried out here, and those about
 * proxies are returned. Time is passed in, {@link stonespring.model.DeciMillis}. Not thread-safe.
 */
final class EngineRunner {
  private static final Logger LOG = LoggerFactory.getLogger(EngineRunner.class);

  /** {@link #nextTimerAt} where no timer runs. */
  static final long NO_TIMER = Long.MAX_VALUE;

  /** {@code sequence} keeps timers that are due at the same time in the order of their start. */
  private record Timer(long dueAt, long sequence, TimerToken token) {}

  private final DecisionEngine engine;
  private final EndpointListRequests endpointListRequests;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparing(Timer::sequence));
  private long startedTimers;
  private long endedBatches;
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
   * @return whether there were any
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

  /** Returns when the next timer is due, {@link #NO_TIMER} if none runs. */
  long nextTimerAt() {
    return timers.isEmpty() ? NO_TIMER : timers.peek().dueAt;
  }

  /** Returns whether the engine handled an event since the last batch ended. */
  boolean hasPendingEvents() {
    return eventsPending;
  }

  /**
   * Ends the batch and carries out what does not concern proxies.
   *
   * @return the commands that concern proxies, in order
   * @throws DecisionFailedException if the engine throws
   */
  List<Command> endBatch(long now) {
    eventsPending = false;
    endedBatches++;
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

  /** Carries a command out; false if it concerns proxies. */
  private boolean executeIfLocal(Command command, long now) {
    if (command instanceof Command.StartTimer start) {
      // Never due in the batch that started it: the engine could keep the thread busy for ever.
      long delay = Math.max(1, start.delay());
      timers.add(new Timer(now + delay, startedTimers++, start.token()));
    } else if (command instanceof Command.FetchEndpoints) {
      endpointListRequests.fetchEndpoints();
    } else if (command instanceof Command.WatchEndpoints watch) {
      endpointListRequests.watchEndpoints(watch.enabled());
    } else if (command instanceof Command.Log log) {
      LOG.info("decision: {}", log.text());
    } else if (command instanceof Command.HealthCheck || command instanceof Command.SendToPeer) {
      LOG.warn("unsupported command, no setting allows it: {}", command);
    } else {
      return false;
    }
    return true;
  }

  /** Returns how many batches have ended. */
  long endedBatches() {
    return endedBatches;
  }
}
