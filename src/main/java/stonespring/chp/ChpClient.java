package stonespring.chp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.zmtp.SocketType;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpLimits;
import stonespring.zmtp.ZmtpListener;
import stonespring.zmtp.ZmtpSockets;

/**
 * One session of a client with one server: it subscribes, waits for a first sign of the publisher,
 * takes the snapshot and then follows. All of it lives on one event loop. A session that loses one
 * of its connections, or hears nothing for a while, ends whole; whoever holds it dials a new one.
 */
public final class ChpClient {
  /** What a session tells; calls come on its event loop. */
  public interface Listener {
    /** The snapshot is whole; later updates follow. Comes again after each {@link #resync}. */
    void snapshot(List<ChpMessage.KvSync> keys, long sequence);

    void update(ChpMessage.KvPub update);

    /** All three connections stand and the collector listens. */
    default void ready() {}

    /** The session is over; comes once. */
    void ended(String cause);
  }

  private static final int HELD_MOST =
      100_000; // updates held back during a snapshot; more end the session
  private static final int SYNC_MOST = 1_000_000; // keys of a snapshot; more end the session

  private final EventLoop loop;
  private final String subtree;
  private final long silenceMillis;
  private final Listener listener;
  private final List<ChannelFuture> dials = new ArrayList<>();
  private ZmtpConnection snapshots;
  private ZmtpConnection updates;
  private ZmtpConnection collector;
  private boolean live;
  private boolean asked;
  private boolean synced;
  private boolean ended;
  private boolean readyTold;
  private boolean collectorListens;
  private long sequence = Long.MIN_VALUE;
  private long lastHeard = System.nanoTime();
  private List<ChpMessage.KvSync> syncing = new ArrayList<>();
  private final ArrayDeque<ChpMessage.KvPub> held = new ArrayDeque<>();

  /**
   * @param silenceMillis how long the publisher may be silent, HUGZ included, before the session
   *     ends
   */
  public ChpClient(EventLoop loop, String subtree, long silenceMillis, Listener listener) {
    this.loop = loop;
    this.subtree = subtree;
    this.silenceMillis = silenceMillis;
    this.listener = listener;
  }

  /**
   * Dials the server's snapshot port, the port above it and, with {@code tells}, the one above
   * that.
   */
  public void dial(String host, int port, boolean tells, ZmtpLimits limits) {
    dial(host, port, port + 1, tells ? port + 2 : 0, limits);
  }

  /**
   * Dials three ports that need not stand in a row: a link between may have given each one of its
   * own.
   */
  public void dial(
      String host, int snapshotPort, int updatePort, int collectorPort, ZmtpLimits limits) {
    one(SocketType.DEALER, host, snapshotPort, limits, new Snapshots());
    one(SocketType.SUB, host, updatePort, limits, new Updates());
    if (collectorPort != 0) {
      one(SocketType.PUB, host, collectorPort, limits, new Collector());
    }
    loop.schedule(this::watch, silenceMillis / 2, TimeUnit.MILLISECONDS);
  }

  private void one(SocketType type, String host, int port, ZmtpLimits limits, ZmtpListener events) {
    ChannelFuture dial =
        ZmtpSockets.connect(loop, type, new InetSocketAddress(host, port), limits, events);
    dials.add(dial);
    dial.addListener(
        f -> {
          if (!f.isSuccess()) {
            end("can't reach " + host + ":" + port + ": " + f.cause().getMessage());
          }
        });
  }

  private void watch() {
    if (ended) {
      return;
    }
    if (System.nanoTime() - lastHeard > TimeUnit.MILLISECONDS.toNanos(silenceMillis)) {
      end("nothing heard for " + silenceMillis + " ms");
    } else {
      loop.schedule(this::watch, silenceMillis / 4, TimeUnit.MILLISECONDS);
    }
  }

  /** Asks for the snapshot anew: the follower saw that something is missing. */
  public void resync() {
    if (synced) {
      synced = false;
      asked = false;
      ask();
    }
  }

  private void ask() {
    if (live && snapshots != null && !asked) {
      asked = true;
      syncing = new ArrayList<>();
      snapshots.sendNow(new ChpMessage.IcanHaz(subtree).frames());
    }
    if (synced && !readyTold && (collector == null || collectorListens)) {
      readyTold = true;
      listener.ready();
    }
  }

  /** Sets a key at the server; false where the collector's connection does not stand. */
  public boolean set(ChpMessage.KvSet set) {
    if (collector == null || !collectorListens || ended) {
      return false;
    }
    collector.sendNow(set.frames());
    return true;
  }

  /** Reads nothing more from the publisher until told to: a proxy that stands still. */
  public void reading(boolean on) {
    lastHeard = System.nanoTime();
    if (updates != null) {
      updates.channel().config().setAutoRead(on);
    }
  }

  public void close() {
    end("closed");
  }

  private void end(String cause) {
    if (ended) {
      return;
    }
    ended = true;
    for (ChannelFuture dial : dials) {
      dial.channel().close();
    }
    listener.ended(cause);
  }

  private final class Snapshots implements ZmtpListener {
    @Override
    public void opened(ZmtpConnection peer) {
      snapshots = peer;
      ask();
    }

    @Override
    public void message(ZmtpConnection peer, List<byte[]> frames) {
      try {
        take(ChpMessage.readSync(frames));
      } catch (ChpException e) {
        end("snapshot: " + e.getMessage());
      }
    }

    private void take(ChpMessage message) {
      lastHeard = System.nanoTime();
      if (message instanceof ChpMessage.KvSync sync) {
        if (syncing.size() >= SYNC_MOST) {
          throw new ChpException("over " + SYNC_MOST + " keys");
        }
        syncing.add(sync);
      } else if (message instanceof ChpMessage.Kthxbai end && asked && !synced) {
        synced = true;
        sequence = end.sequence();
        List<ChpMessage.KvSync> keys = syncing;
        syncing = new ArrayList<>();
        listener.snapshot(keys, sequence);
        while (!held.isEmpty() && synced && !ended) {
          follow(held.poll());
        }
        ask();
      }
    }

    @Override
    public void closed(ZmtpConnection peer) {
      end("the snapshot port's connection ended");
    }
  }

  private void follow(ChpMessage.KvPub update) {
    if (update.sequence() > sequence) {
      sequence = update.sequence();
      listener.update(update);
    }
  }

  private final class Updates implements ZmtpListener {
    @Override
    public void opened(ZmtpConnection peer) {
      updates = peer;
      peer.subscribe(ChpMessage.bytes(subtree));
      // Asked for last: once it is heard, the subtree's subscription is in force.
      peer.subscribe(ChpMessage.HUGZ_TOPIC);
    }

    @Override
    public void message(ZmtpConnection peer, List<byte[]> frames) {
      lastHeard = System.nanoTime();
      try {
        ChpMessage message = ChpMessage.readUpdate(frames);
        if (message instanceof ChpMessage.KvPub update) {
          if (synced) {
            follow(update);
          } else if (held.size() < HELD_MOST) {
            held.add(update);
          } else {
            end("over " + HELD_MOST + " updates came before the snapshot ended");
          }
        }
      } catch (ChpException e) {
        end("update: " + e.getMessage());
      }
      if (!live) {
        live = true;
        ask();
      }
    }

    @Override
    public void closed(ZmtpConnection peer) {
      end("the update port's connection ended");
    }
  }

  private final class Collector implements ZmtpListener {
    @Override
    public void opened(ZmtpConnection peer) {
      collector = peer;
    }

    @Override
    public void subscription(ZmtpConnection peer, byte[] prefix, boolean on) {
      // A publisher's messages before this would go nowhere.
      collectorListens = on;
      ask();
    }

    @Override
    public void closed(ZmtpConnection peer) {
      end("the collector's connection ended");
    }
  }
}
