package stonespring.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Calls by HTTP/1.1 with one call at a time on each connection, kept open for the next. All of it
 * lives on one event loop. A call ends once, by an answer or by how it failed; only {@code
 * UNREACHED} proves that it never ran.
 */
public final class HttpClient {
  /** How a call failed. */
  public enum Failure {
    UNREACHED,
    BROKEN,
    TIMED_OUT,
    GARBLED
  }

  /** Hears the end of a call on the client's event loop: one of the two is null. */
  public interface Outcome {
    void done(HttpMessage answer, Failure failure);
  }

  private final Dialer dialer;
  private final int connectMillis;
  private final int bodyMost;
  private final int idleMost;
  private final Map<InetSocketAddress, ArrayDeque<Channel>> idle = new HashMap<>();
  private long opened;

  public HttpClient(EventLoop loop, int connectMillis, int bodyMost, int idleMost) {
    this(new Dialer(loop), connectMillis, bodyMost, idleMost);
  }

  public HttpClient(Dialer dialer, int connectMillis, int bodyMost, int idleMost) {
    this.dialer = dialer;
    this.connectMillis = connectMillis;
    this.bodyMost = bodyMost;
    this.idleMost = idleMost;
  }

  /** How many connections were opened so far. */
  public long opened() {
    return opened;
  }

  /** Calls; must be on the client's event loop. Returns what gives the call up when run. */
  public Runnable call(
      InetSocketAddress to, HttpMessage request, long timeoutMillis, Outcome outcome) {
    Call call = new Call(to, request, outcome);
    call.timer =
        dialer
            .loop()
            .schedule(
                () -> call.end(null, Failure.TIMED_OUT), timeoutMillis, TimeUnit.MILLISECONDS);
    ArrayDeque<Channel> free = idle.get(to);
    Channel channel = null;
    while (free != null && !free.isEmpty() && (channel == null || !channel.isActive())) {
      channel = free.pollLast();
    }
    if (channel != null && channel.isActive()) {
      call.on(channel);
    } else {
      dial(call);
    }
    return () -> call.end(null, Failure.TIMED_OUT);
  }

  private void dial(Call call) {
    call.channel =
        dialer.dial(
            call.to,
            connectMillis,
            cause -> {
              if (cause != null) {
                call.end(null, Failure.UNREACHED);
              } else if (!call.over) {
                opened++;
                call.on(call.channel);
              }
            },
            new HttpDecoder(false, bodyMost),
            new Reader());
  }

  /** Closes the kept connections to an address that is no longer called. */
  public void forget(InetSocketAddress address) {
    ArrayDeque<Channel> free = idle.remove(address);
    if (free != null) {
      free.forEach(Channel::close);
    }
  }

  public void close() {
    for (Iterator<ArrayDeque<Channel>> it = idle.values().iterator(); it.hasNext(); ) {
      it.next().forEach(Channel::close);
      it.remove();
    }
  }

  private final class Call {
    private final InetSocketAddress to;
    private final HttpMessage request;
    private final Outcome outcome;
    private Future<?> timer;
    private Channel channel;
    private boolean over;

    Call(InetSocketAddress to, HttpMessage request, Outcome outcome) {
      this.to = to;
      this.request = request;
      this.outcome = outcome;
    }

    void on(Channel on) {
      channel = on;
      on.pipeline().get(Reader.class).call = this;
      on.writeAndFlush(request.bytes(true));
    }

    void end(HttpMessage answer, Failure failure) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel(false);
      Reader reader = channel.pipeline().get(Reader.class);
      if (reader != null) {
        reader.call = null;
      }
      if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
        // Its answer may still come: a connection with a call given up is never used again.
        Dialer.close(channel);
      } else {
        keep();
      }
      outcome.done(answer, failure);
    }

    private void keep() {
      ArrayDeque<Channel> free = idle.computeIfAbsent(to, t -> new ArrayDeque<>());
      free.add(channel);
      if (free.size() > idleMost) {
        free.poll().close();
      }
    }
  }

  private final class Reader extends SimpleChannelInboundHandler<HttpMessage> {
    private Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpMessage answer) {
      if (call == null) {
        ctx.close(); // it answers what nobody asked
      } else if (answer.status() >= 200) {
        call.end(answer, null);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (call != null) {
        call.end(null, Failure.BROKEN);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Call over = call;
      ctx.close();
      if (over != null) {
        over.end(null, cause instanceof java.io.IOException ? Failure.BROKEN : Failure.GARBLED);
      }
    }
  }
}
