package stonespring.chp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpEncoder;
import stonespring.zmtp.ZmtpListener;

/**
 * The updates' port: who wants which prefix, and sending. All state lives on one event loop. A
 * topic is looked up by its own prefixes, so that an update for one proxy costs its key's length
 * and not a look at every subscriber.
 */
final class Publisher implements ZmtpListener {
  private final EventLoop loop;
  private final Map<String, Map<ZmtpConnection, Integer>> wanted = new HashMap<>();
  private final TreeMap<Integer, Integer> lengths = new TreeMap<>();
  private final Map<ZmtpConnection, Set<String>> byPeer = new HashMap<>();
  private final Set<ZmtpConnection> writtenSinceBeat = new HashSet<>();

  Publisher(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public void subscription(ZmtpConnection peer, byte[] prefixBytes, boolean on) {
    String prefix = new String(prefixBytes, StandardCharsets.ISO_8859_1);
    Map<ZmtpConnection, Integer> peers = wanted.get(prefix);
    if (on) {
      if (peers == null) {
        wanted.put(prefix, peers = new LinkedHashMap<>());
        lengths.merge(prefix.length(), 1, Integer::sum);
      }
      peers.merge(peer, 1, Integer::sum);
      byPeer.computeIfAbsent(peer, p -> new LinkedHashSet<>()).add(prefix);
      if (prefix.equals("HUGZ")) {
        // Tells the subscriber that all it asked for before this is in force: it may ask for its
        // snapshot now.
        peer.sendNow(new ChpMessage.Hugz().frames());
      }
    } else if (peers != null && peers.containsKey(peer)) {
      int left = peers.get(peer) - 1;
      if (left > 0) {
        peers.put(peer, left);
      } else {
        remove(peer, prefix);
        byPeer.get(peer).remove(prefix);
      }
    }
  }

  private void remove(ZmtpConnection peer, String prefix) {
    Map<ZmtpConnection, Integer> peers = wanted.get(prefix);
    if (peers == null || peers.remove(peer) == null || !peers.isEmpty()) {
      return;
    }
    wanted.remove(prefix);
    if (lengths.merge(prefix.length(), -1, Integer::sum) == 0) {
      lengths.remove(prefix.length());
    }
  }

  @Override
  public void closed(ZmtpConnection peer) {
    writtenSinceBeat.remove(peer);
    Set<String> prefixes = byPeer.remove(peer);
    if (prefixes != null) {
      prefixes.forEach(prefix -> remove(peer, prefix));
    }
  }

  /** Sends updates to all that want them, in order; from any thread. */
  void publish(List<? extends ChpMessage> updates) {
    loop.execute(() -> send(updates));
  }

  /**
   * HUGZ to every subscriber to whom nothing else went since the last beat. What went to others is
   * no sign of life to it: a follower of a quiet subtree once took a busy server for dead.
   */
  void beat() {
    List<byte[]> hugz = new ChpMessage.Hugz().frames();
    for (ZmtpConnection peer : wanted.getOrDefault("HUGZ", Map.of()).keySet()) {
      if (!writtenSinceBeat.contains(peer)) {
        peer.sendNow(hugz);
      }
    }
    writtenSinceBeat.clear();
  }

  /**
   * What goes to one peer goes as one piece: a write for each update costs more than all else here
   * together.
   */
  private void send(List<? extends ChpMessage> updates) {
    Map<ZmtpConnection, ByteBuf> pieces = new LinkedHashMap<>();
    List<ZmtpConnection> peers = new ArrayList<>();
    for (ChpMessage update : updates) {
      List<byte[]> frames = update.frames();
      peers.clear();
      wanting(new String(frames.get(0), StandardCharsets.ISO_8859_1), peers);
      for (ZmtpConnection peer : peers) {
        ByteBuf piece = pieces.get(peer);
        if (piece == null) {
          pieces.put(peer, piece = PooledByteBufAllocator.DEFAULT.buffer());
        }
        ZmtpEncoder.append(piece, frames);
      }
    }
    pieces.forEach(
        (peer, piece) -> {
          peer.write(piece);
          peer.flush();
          writtenSinceBeat.add(peer);
        });
  }

  /** Adds every peer that wants this topic, each once. */
  private void wanting(String topic, List<ZmtpConnection> peers) {
    Set<ZmtpConnection> seen = null;
    for (int length : lengths.keySet()) {
      if (length > topic.length()) {
        break;
      }
      Map<ZmtpConnection, Integer> some = wanted.get(topic.substring(0, length));
      if (some == null) {
        continue;
      }
      if (!peers.isEmpty() && seen == null) {
        seen = new LinkedHashSet<>(peers);
      }
      for (ZmtpConnection peer : some.keySet()) {
        if (seen == null || seen.add(peer)) {
          peers.add(peer);
        }
      }
    }
  }
}
