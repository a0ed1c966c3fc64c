package stonespring.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.http.Dialer;
import stonespring.http.HttpClient;
import stonespring.http.HttpMessage;
import stonespring.http.HttpWatch;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * The platform's list of tasks: asked for whole, or watched by an answer that stays open and holds
 * an object a line. A watch that breaks, ends, goes silent or says what can't be read is told as
 * failed, and the decisions say when to ask again. The address may move: the new one is asked
 * before the old one is closed. All of it lives on one event loop.
 */
public final class PlatformEndpointSource implements EndpointSource {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformEndpointSource.class);
  private static final String PATH = "/registry/instances";
  private static final int CONNECT_MILLIS = 1_000; // ms; discovery is near
  private static final int ANSWER_MILLIS =
      2_500; // ms; discovery gives a call that waits up well before
  private static final long SILENCE_MILLIS =
      3_200; // ms; a quiet watch says an empty line every 2 s
  // ms; an object that comes by pieces without end is silence too. What it has to tell counts as
  // told 6 s after it
  // changed, whether or not it came whole: by then it must be asked for again.
  private static final long OBJECT_MILLIS = 5_000;
  private static final int LINE_MOST =
      16 << 20; // bytes of an object; far above the most tasks of a list
  private static final long MOVE_AGAIN_MILLIS =
      300; // ms; the old address lasts no longer than a few of these
  private static final ObjectMapper JSON =
      new ObjectMapper(
          JsonFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder().maxNestingDepth(16).maxStringLength(4096).build())
              .build());

  private final PlatformEndpointCodec entries;
  private final EventLoop loop;
  private final Dialer dialer;
  private final HttpClient client;
  private InetSocketAddress address;
  private Consumer<Event.EndpointListUpdate> told;
  private Consumer<List<EndpointRecord>> list;
  private boolean following;
  private Watch watch;
  private Watch moving;

  public PlatformEndpointSource(
      InetSocketAddress address, PlatformEndpointCodec entries, EventLoop loop) {
    this(address, entries, new Dialer(loop));
  }

  PlatformEndpointSource(InetSocketAddress address, PlatformEndpointCodec entries, Dialer dialer) {
    this.address = address;
    this.entries = entries;
    this.loop = dialer.loop();
    this.dialer = dialer;
    this.client = new HttpClient(dialer, CONNECT_MILLIS, LINE_MOST, 0);
  }

  /** Takes a list in the platform's form, as last had before the start; a bad one is none. */
  public Event.EndpointListUpdate lastSeen(JsonNode known) {
    if (known != null) {
      try {
        return new Event.EndpointListUpdate(
            Event.ListUpdateKind.CACHED, entries.read(known).entries());
      } catch (EndpointListCodec.BadList e) {
        LOG.warn("the list known before the start is not used: {}", e.getMessage());
      }
    }
    return new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, List.of());
  }

  /** What is held now. */
  public List<EndpointRecord> held() {
    return entries.list();
  }

  @Override
  public void start(Consumer<Event.EndpointListUpdate> to, Consumer<List<EndpointRecord>> listTo) {
    told = to;
    list = listTo;
  }

  @Override
  public void follow(boolean on) {
    loop.execute(
        () -> {
          following = on;
          cancel();
          if (on) {
            watch = new Watch(address);
          }
        });
  }

  private void cancel() {
    for (Watch some : new Watch[] {watch, moving}) {
      if (some != null) {
        some.cancel();
      }
    }
    watch = null;
    moving = null;
  }

  /** Discovery has another address from now on. */
  public void moveTo(InetSocketAddress to) {
    loop.execute(
        () -> {
          if (to.equals(address)) {
            return;
          }
          LOG.info("discovery moves from {} to {}", address, to);
          address = to;
          if (moving != null) {
            moving.cancel();
            moving = null;
          }
          if (watch != null) {
            moving = new Watch(to);
          }
        });
  }

  /** The one answer to what the decisions asked last. */
  private void failed(String cause) {
    LOG.warn("discovery {}: the list held stays: {}", address, cause);
    told.accept(new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
  }

  private final class Watch implements HttpWatch.Listener {
    private final InetSocketAddress to;
    private final HttpWatch call;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long seen = entries.version();
    private Future<?> unfinished;
    private boolean over;

    Watch(InetSocketAddress to) {
      this.to = to;
      this.call =
          new HttpWatch(
              dialer,
              to,
              HttpMessage.get(to, PATH + "?stream=1&index=" + entries.version()),
              ANSWER_MILLIS,
              SILENCE_MILLIS,
              LINE_MOST,
              this);
    }

    @Override
    public void bytes(byte[] bytes) {
      if (this == moving) {
        LOG.info("discovery {} answers: the old address is closed", to);
        if (watch != null) {
          watch.cancel();
        }
        watch = this;
        moving = null;
      }
      for (int from = 0; from < bytes.length && !over; ) {
        int end = from;
        while (end < bytes.length && bytes[end] != '\n') {
          end++;
        }
        line.write(bytes, from, end - from);
        if (line.size() > LINE_MOST) {
          broken("an object is over " + LINE_MOST + " bytes");
          return;
        }
        if (end < bytes.length) {
          whole();
          object(line.toByteArray());
          line.reset();
        } else if (unfinished == null) {
          unfinished =
              loop.schedule(
                  () -> broken("an object has not come whole within " + OBJECT_MILLIS + " ms"),
                  OBJECT_MILLIS,
                  TimeUnit.MILLISECONDS);
        }
        from = end + 1;
      }
    }

    private void object(byte[] bytes) {
      if (new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).isBlank()) {
        return; // a sign of life
      }
      try {
        PlatformEndpointCodec.Told object = entries.read(JSON.readTree(bytes), seen, true);
        seen = object.version();
        told.accept(object.event());
        list.accept(entries.list());
      } catch (EndpointListCodec.BadList e) {
        broken(e.getMessage());
      } catch (IOException e) {
        broken("an object is no well-formed JSON");
      }
    }

    /** The object that was begun is whole, or nobody waits for it any more. */
    private void whole() {
      if (unfinished != null) {
        unfinished.cancel(false);
        unfinished = null;
      }
    }

    /** Ends it without a word. */
    private void cancel() {
      over = true;
      whole();
      call.cancel();
    }

    private void broken(String cause) {
      call.cancel();
      ended(cause);
    }

    @Override
    public void ended(String cause) {
      over = true;
      whole();
      if (this == moving) {
        moving = null;
        if (watch == null) {
          failed(cause);
        } else {
          loop.schedule(
              () -> {
                if (watch != null && moving == null && !watch.to.equals(address)) {
                  moving = new Watch(address);
                }
              },
              MOVE_AGAIN_MILLIS,
              TimeUnit.MILLISECONDS);
        }
      } else if (this == watch) {
        watch = null;
        if (moving == null && following) {
          failed(cause);
        } // else the new address will answer, one way or the other
      }
    }
  }

  @Override
  public void fetch() {
    loop.execute(() -> fetch(entries.version(), entries.history()));
  }

  private void fetch(long since, long history) {
    client.call(
        address,
        HttpMessage.get(address, PATH),
        ANSWER_MILLIS,
        (answer, failure) -> {
          try {
            if (history != entries.history()) {
              throw new EndpointListCodec.BadList("its versions started over while it was asked");
            }
            if (answer == null || answer.status() != 200) {
              throw new EndpointListCodec.BadList(
                  answer == null ? "the ask failed: " + failure : "it answers " + answer.status());
            }
            told.accept(
                new Event.EndpointListUpdate(
                    Event.ListUpdateKind.SNAPSHOT,
                    entries.read(JSON.readTree(answer.body()), since, false).entries()));
            list.accept(entries.list());
          } catch (EndpointListCodec.BadList e) {
            failed(e.getMessage());
          } catch (IOException e) {
            failed("its answer is no well-formed JSON");
          }
        });
  }

  @Override
  public void stop() {
    loop.execute(
        () -> {
          following = false;
          cancel();
          client.close();
        });
  }
}
