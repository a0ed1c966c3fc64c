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
 * The decision module with its timers, as every route drives it: events in, a moment finished, what
 * concerns the list and the log carried out, what concerns proxies handed back. Time is passed in,
 * tenths of a millisecond.
 */
final class EngineRunner {
  private static final Logger LOG = LoggerFactory.getLogger(EngineRunner.class);

  private record Timer(long at, long count, TimerToken token) {}

  private final DecisionEngine module;
  private final EndpointListRequests list;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparing(Timer::count));
  private long timerCount;
  private long finishes;
  private boolean pending;

  EngineRunner(DecisionEngine module, EndpointListRequests list) {
    this.module = module;
    this.list = list;
  }

  void tell(long now, Event event) {
    pending = true;
    try {
      module.handle(now, event);
    } catch (RuntimeException | StackOverflowError e) {
      throw new DecisionFailedException(e);
    }
  }

  /** Tells the timers that are due; whether there were any. */
  boolean timersDue(long now) {
    boolean any = false;
    while (!timers.isEmpty() && timers.peek().at <= now) {
      tell(now, new Event.TimerFired(timers.poll().token));
      any = true;
    }
    return any;
  }

  /** When the next timer is due; far away if there is none. */
  long nextTimer() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** Whether anything was told since the last moment ended. */
  boolean pending() {
    return pending;
  }

  /** Ends the moment; the orders that concern proxies, in order. */
  List<Command> finish(long now) {
    pending = false;
    finishes++;
    List<Command> orders;
    try {
      orders = module.endBatch(now);
    } catch (RuntimeException | StackOverflowError e) {
      throw new DecisionFailedException(e);
    }
    List<Command> forProxies = new ArrayList<>();
    for (Command order : orders) {
      if (order instanceof Command.StartTimer o) {
        // Never in the moment that set it: the module could keep the loop busy for ever.
        timers.add(new Timer(now + Math.max(1, o.delay()), timerCount++, o.token()));
      } else if (order instanceof Command.FetchEndpoints) {
        list.fetchList();
      } else if (order instanceof Command.WatchEndpoints o) {
        list.followList(o.enabled());
      } else if (order instanceof Command.Log o) {
        LOG.info("decision: {}", o.text());
      } else if (order instanceof Command.HealthCheck || order instanceof Command.SendToPeer) {
        LOG.warn("decision: {} is not carried out: settings that allow it are not offered", order);
      } else {
        forProxies.add(order);
      }
    }
    return forProxies;
  }

  long finishes() {
    return finishes;
  }
}
