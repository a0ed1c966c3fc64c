package stonespring.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for what is killed and started again at the same one: taken from below the range that systems give to outgoing
 * connections, where a port that is free for a second is soon somebody's. Each is given once in a process.
 */
final class FreePorts {
    private static final int FIRST = 11_000;
    private static final int LAST = 31_000;
    private static int next = FIRST + ThreadLocalRandom.current().nextInt(LAST - FIRST);

    private FreePorts() {
    }

    /** The first of so many free ports in a row. */
    static synchronized int take(int count) throws IOException {
        for (int tries = 0; tries < LAST - FIRST; tries++) {
            int first = next;
            boolean fits = first + count < LAST;
            int free = 0;
            while (fits && free < count && isFree(first + free)) {
                free++;
            }
            next = fits ? first + free + 1 : FIRST;
            if (free == count) {
                return first;
            }
        }
        throw new IOException("no " + count + " free ports in a row from " + FIRST + " to " + LAST);
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket()) {
            probe.setReuseAddress(true);
            probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
