package stonespring.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.Event;
import stonespring.proxyapi.ProxyConnection;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.state.KeySnapshot;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * The one thread that drives an instance's core: words from the sockets wait in an inbox, a
 * moment's worth of them is told together, then the core does what is due. The inbox is bounded:
 * words of proxies are refused at the bound (their connection ends, they come again); lists and
 * ended connections always find room, there are few of them. What goes wrong while one word is
 * taken ends nothing but that word; what goes wrong in the decisions ends the instance.
 */
public final class EventLoopThread implements ProxyMessageHandler {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopThread.class);
  private static final long MOST_NANOS =
      TimeUnit.MINUTES.toNanos(1); // the histogram's end; longer counts as that

  private final InstanceClock clock;
  private final int inboxMost;
  private final int momentMillis;
  private final LinkedBlockingQueue<LongConsumer> inbox = new LinkedBlockingQueue<>();
  private final AtomicInteger words = new AtomicInteger();
  private final AtomicLong refused = new AtomicLong();
  private final Histogram moments = new Histogram(MOST_NANOS, 3);
  private final CountDownLatch ended = new CountDownLatch(1);
  private EngineHost core;
  private volatile boolean stopping;
  private volatile Throwable failure;

  public EventLoopThread(InstanceClock clock, int inboxMost, int momentMillis) {
    this.clock = clock;
    this.inboxMost = inboxMost;
    this.momentMillis = momentMillis;
  }

  /** Starts the thread that drives this core. */
  public void start(String name, EngineHost driven) {
    core = driven;
    Thread thread = new Thread(this::drive, name + "-loop");
    thread.setUncaughtExceptionHandler((t, e) -> LOG.error("loop ended", e));
    thread.start();
  }

  private void drive() {
    try {
      long wakeAt = clock.now();
      while (!stopping) {
        long wait = Math.max(0, wakeAt - clock.now());
        LongConsumer word = inbox.poll(wait * 100, TimeUnit.MICROSECONDS);
        if (word != null && momentMillis > 0) {
          Thread.sleep(momentMillis); // what comes within a moment is told together
        }
        long began = System.nanoTime();
        long now = clock.now();
        for (; word != null; word = inbox.poll()) {
          take(word, now);
        }
        long decisions = core.decisions();
        wakeAt = core.run(now);
        if (core.decisions() > decisions) {
          moments.recordValue(Math.min(MOST_NANOS, System.nanoTime() - began));
        }
      }
    } catch (DecisionFailedException e) {
      failure = e.getCause();
      LOG.error(
          "the decisions failed: this instance ends, its proxies go on by their last tables",
          e.getCause());
    } catch (InterruptedException e) {
      failure = e;
    } catch (RuntimeException | Error e) {
      failure = e;
      LOG.error("the loop failed: this instance ends, its proxies go on by their last tables", e);
    } finally {
      ended.countDown();
    }
  }

  private void take(LongConsumer word, long now) {
    try {
      word.accept(now);
    } catch (DecisionFailedException e) {
      throw e;
    } catch (RuntimeException e) {
      LOG.error("a word could not be taken", e);
    }
  }

  private boolean offer(LongConsumer word) {
    if (words.incrementAndGet() > inboxMost || stopping) {
      words.decrementAndGet();
      refused.incrementAndGet();
      return false;
    }
    inbox.add(
        now -> {
          words.decrementAndGet();
          word.accept(now);
        });
    return true;
  }

  /** Runs on the loop's thread, soon; never refused. */
  public void post(LongConsumer work) {
    inbox.add(work);
  }

  @Override
  public boolean hello(String proxy, ProxyHello hello, long holds, ProxyConnection from) {
    return offer(now -> core.hello(proxy, hello, holds, from, now));
  }

  @Override
  public boolean reported(String proxy, ProxyReport report, ProxyConnection from) {
    return offer(now -> core.reported(proxy, report, from));
  }

  @Override
  public boolean acknowledged(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection from) {
    return offer(now -> core.acknowledged(proxy, acknowledgement, from, now));
  }

  @Override
  public boolean snapshot(String subtree, Consumer<KeySnapshot> receiver) {
    return offer(now -> receiver.accept(new KeySnapshot(core.snapshot(subtree), core.sequence())));
  }

  @Override
  public void connectionClosed(ProxyConnection from) {
    post(now -> core.closed(from, now));
  }

  public void listTold(Event.EndpointListUpdate told) {
    post(now -> core.listTold(told, now));
  }

  /** Ends after the moment in hand. */
  public void stop() throws InterruptedException {
    stopping = true;
    post(now -> {});
    ended.await(10, TimeUnit.SECONDS);
  }

  /**
   * Waits until the loop has ended by itself or was stopped; the failure that ended it, or null.
   */
  public Throwable awaitEnd() throws InterruptedException {
    ended.await();
    return failure;
  }

  /**
   * How long a moment with decisions took, from its first word to its orders: a copy, in
   * nanoseconds. Loop ended.
   */
  public Histogram moments() {
    return moments.copy();
  }

  public long refused() {
    return refused.get();
  }
}
