package stonespring.chp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.LinkedHashSet;
import stonespring.zmtp.Wire;
import stonespring.zmtp.ZmtpEvents;
import stonespring.zmtp.ZmtpPeer;

/**
 * The updates' port: who wants which prefix, and sending. All state lives on one event loop. A topic is looked up by
 * its own prefixes, so that an update for one proxy costs its key's length and not a look at every subscriber.
 */
final class Publisher implements ZmtpEvents {
    private final EventLoop loop;
    private final Map<String, Map<ZmtpPeer, Integer>> wanted = new HashMap<>();
    private final TreeMap<Integer, Integer> lengths = new TreeMap<>();
    private final Map<ZmtpPeer, Set<String>> byPeer = new HashMap<>();
    private boolean sentSinceBeat;

    Publisher(EventLoop loop) {
        this.loop = loop;
    }

    @Override public void subscription(ZmtpPeer peer, byte[] prefixBytes, boolean on) {
        String prefix = new String(prefixBytes, StandardCharsets.ISO_8859_1);
        Map<ZmtpPeer, Integer> peers = wanted.get(prefix);
        if (on) {
            if (peers == null) {
                wanted.put(prefix, peers = new LinkedHashMap<>());
                lengths.merge(prefix.length(), 1, Integer::sum);
            }
            peers.merge(peer, 1, Integer::sum);
            byPeer.computeIfAbsent(peer, p -> new LinkedHashSet<>()).add(prefix);
            if (prefix.equals("HUGZ")) {
                // Tells the subscriber that all it asked for before this is in force: it may ask for its snapshot now.
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

    private void remove(ZmtpPeer peer, String prefix) {
        Map<ZmtpPeer, Integer> peers = wanted.get(prefix);
        if (peers == null || peers.remove(peer) == null || !peers.isEmpty()) {
            return;
        }
        wanted.remove(prefix);
        if (lengths.merge(prefix.length(), -1, Integer::sum) == 0) {
            lengths.remove(prefix.length());
        }
    }

    @Override public void closed(ZmtpPeer peer) {
        Set<String> prefixes = byPeer.remove(peer);
        if (prefixes != null) {
            prefixes.forEach(prefix -> remove(peer, prefix));
        }
    }

    /** Sends updates to all that want them, in order; from any thread. */
    void publish(List<? extends ChpMessage> updates) {
        loop.execute(() -> {
            Set<ZmtpPeer> written = new LinkedHashSet<>();
            for (ChpMessage update : updates) {
                send(update, written);
            }
            written.forEach(ZmtpPeer::flush);
            sentSinceBeat |= !updates.isEmpty();
        });
    }

    /** HUGZ, where nothing else went out since the last beat. */
    void beat() {
        if (!sentSinceBeat) {
            Set<ZmtpPeer> written = new LinkedHashSet<>();
            send(new ChpMessage.Hugz(), written);
            written.forEach(ZmtpPeer::flush);
        }
        sentSinceBeat = false;
    }

    private void send(ChpMessage update, Set<ZmtpPeer> written) {
        List<byte[]> frames = update.frames();
        String topic = new String(frames.get(0), StandardCharsets.ISO_8859_1);
        List<ZmtpPeer> peers = new ArrayList<>();
        Set<ZmtpPeer> seen = null;
        for (int length : lengths.keySet()) {
            if (length > topic.length()) {
                break;
            }
            Map<ZmtpPeer, Integer> some = wanted.get(topic.substring(0, length));
            if (some == null) {
                continue;
            }
            if (!peers.isEmpty() && seen == null) {
                seen = new LinkedHashSet<>(peers);
            }
            for (ZmtpPeer peer : some.keySet()) {
                if (seen == null || seen.add(peer)) {
                    peers.add(peer);
                }
            }
        }
        if (peers.isEmpty()) {
            return;
        }
        ByteBuf bytes = Wire.message(io.netty.buffer.PooledByteBufAllocator.DEFAULT, frames);
        for (ZmtpPeer peer : peers) {
            peer.write(bytes.retainedDuplicate());
            written.add(peer);
        }
        bytes.release();
    }
}
