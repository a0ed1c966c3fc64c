package stonespring.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import stonespring.http.HttpCallFailure;
import stonespring.http.HttpCallResult;
import stonespring.http.HttpClient;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.proxy.routing.RequestOutcome;
import stonespring.proxy.routing.RequestProgress;
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.Router;

/**
 * A plain proxy: it takes ops by HTTP ({@code POST /op/TYPE}, the op's id in {@code x-op}), sends
 * them to tasks as its tables say, and answers. What it gives up on is answered at once, with
 * {@code retry-after} and, where the op certainly did not run, {@code x-not-run: 1}. All of it
 * lives on one event loop.
 */
public final class Proxy {
  public static final String NOT_RUN =
      "x-not-run"; // a header; the op was refused before it was read
  private static final int CONNECT_MILLIS = 250; // ms; a task that accepts does so in a few
  private static final int BODY_MOST = 64 << 10; // bytes of an op or its answer
  private static final int IDLE_MOST = 8; // connections kept open to one task
  private static final int IN_HAND_MOST =
      5_000; // ops; above it an op is answered as not done at once

  private static final long CATCH_UP_MILLIS =
      100; // ms; what waits in the socket is read and applied by then

  private final ProxySettings set;
  private final EventLoop loop;
  private final Router router;
  private final RequestStatistics tally;
  private final AssignerLink link;
  private final HttpClient client;
  private final HttpServer server;
  private final TreeSet<String> connected = new TreeSet<>();
  private final ArrayDeque<Runnable> held = new ArrayDeque<>();
  private int inHand;
  private boolean still;

  public Proxy(ProxySettings settings, EventLoop loop) {
    this.set = settings;
    this.loop = loop;
    this.router = new Router(settings.router(), settings.seed());
    this.router.useBootstrapRoutes(settings.standing());
    this.tally = new RequestStatistics(settings.router().requestClasses().size(), 0);
    this.link = new AssignerLink(settings, loop, router, tally);
    this.client = new HttpClient(loop, CONNECT_MILLIS, BODY_MOST, IDLE_MOST);
    this.server =
        new HttpServer(
            (request, exchange) -> loop.execute(() -> take(request, exchange)), BODY_MOST);
  }

  /** Listens and dials its assigner; port 0 takes a free one. */
  public Proxy start(EventLoopGroup loops, int port) throws IOException, InterruptedException {
    server.start(loops, "127.0.0.1", port);
    loop.execute(link::start);
    loop.scheduleAtFixedRate(this::closeUnused, 1, 1, TimeUnit.SECONDS);
    return this;
  }

  public int port() {
    return server.port();
  }

  /** Messages of its assigner applied so far; from any thread, a moment old. */
  public long applied() {
    return link.applied();
  }

  /**
   * Stands still, or goes on: nothing is read from its assigner, no op is taken up. When it goes on
   * it reads what was ordered meanwhile before it sends the first op: its tables are as old as its
   * halt was long.
   */
  public void standStill(boolean on) {
    loop.execute(
        () -> {
          link.reading(!on);
          if (on) {
            still = true;
          } else {
            loop.schedule(this::goOn, CATCH_UP_MILLIS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private void goOn() {
    still = false;
    while (!still && !held.isEmpty()) {
      held.poll().run();
    }
  }

  /** Ends it at once; what it held has no answer. Waits until its port is free. */
  public void stop() throws InterruptedException {
    server.stop().await();
    loop.execute(
        () -> {
          link.stop();
          client.close();
        });
  }

  private void closeUnused() {
    TreeSet<String> named = router.namedEndpoints();
    for (String task : new TreeSet<>(connected)) {
      if (!named.contains(task)) {
        connected.remove(task);
        client.closeIdle(ProxySettings.address(new EndpointId(task)));
      }
    }
  }

  private void take(HttpRequest request, HttpServer.Exchange exchange) {
    int k = -1;
    for (int i = 0; i < set.router().requestClasses().size(); i++) {
      k = request.target().equals("/op/" + set.router().requestClasses().get(i).name()) ? i : k;
    }
    if (k < 0 || !request.method().equals("POST") || request.header("x-op").isEmpty()) {
      exchange.respond(HttpResponse.of(404, "POST /op/TYPE with header x-op\n"));
      return;
    }
    Op op = new Op(new RequestClassId(k), request, exchange);
    if (!still) {
      op.start();
    } else if (held.size() < IN_HAND_MOST) {
      held.add(op::start);
    } else {
      exchange.respond(refusal(503, "full"));
    }
  }

  private static RequestOutcome outcome(HttpCallResult result) {
    if (result instanceof HttpCallResult.Completed completed) {
      HttpResponse response = completed.response();
      return RequestOutcome.ofAnswer(response.status(), response.header(NOT_RUN).equals("1"));
    }
    return outcome(((HttpCallResult.Failed) result).failure());
  }

  /** The outcome of a call that brought no answer. */
  static RequestOutcome outcome(HttpCallFailure failure) {
    return switch (failure) {
      case CONNECT_FAILED -> RequestOutcome.NOT_CONNECTED;
      case CONNECTION_LOST -> RequestOutcome.CONNECTION_BROKEN;
      case TIMED_OUT -> RequestOutcome.TIMED_OUT;
      case MALFORMED_RESPONSE -> RequestOutcome.MALFORMED_ANSWER;
    };
  }

  private static HttpResponse refusal(int status, String why) {
    return HttpResponse.of(status, why + "\n")
        .setHeader("retry-after", "1")
        .setHeader(NOT_RUN, "1")
        .setHeader("x-reason", why);
  }

  /** One op on its way. */
  private final class Op {
    private final RequestClassId type;
    private final HttpRequest request;
    private final HttpServer.Exchange exchange;
    private final long until;
    private int tries;
    private boolean proven = true;
    private long firstAt;

    Op(RequestClassId type, HttpRequest request, HttpServer.Exchange exchange) {
      this.type = type;
      this.request = request;
      this.exchange = exchange;
      String asked = request.header("x-op-timeout-ms");
      long most = set.opTimeouts().get(type.index());
      long millis = asked.matches("[0-9]{1,7}") ? Math.min(most, Long.parseLong(asked)) : most;
      this.until = link.now() + millis * 10;
    }

    void start() {
      tally.requestReceived(type);
      if (link.now() >= until) {
        exchange.respond(refusal(504, "timeout")); // it waited here for longer than its client does
      } else if (inHand >= IN_HAND_MOST) {
        exchange.respond(refusal(503, "full"));
      } else if (!router.admit(type, link.now())) {
        exchange.respond(refusal(429, "level"));
      } else {
        inHand++;
        send(null);
      }
    }

    private void send(EndpointId not) {
      EndpointId task = router.pick(type, not, link.now()).orElse(null);
      if (task == null) {
        finish(not == null ? refusal(503, "no-task") : failed(503, "failed"));
        return;
      }
      long began = link.now();
      tries++;
      firstAt = proven ? began : firstAt;
      connected.add(task.name());
      InetSocketAddress to = ProxySettings.address(task);
      long left = Math.max(1, (until - began) / 10);
      HttpRequest call =
          HttpRequest.post(to, request.target(), request.body())
              .setHeader("x-op", request.header("x-op"))
              .setHeader("x-proxy", set.name())
              .setHeader("x-zone", set.zone())
              .setHeader("x-try", String.valueOf(tries))
              .setHeader("x-op-timeout-ms", String.valueOf(left));
      client.call(to, call, left, result -> ended(task, began, result));
    }

    private void ended(EndpointId task, long began, HttpCallResult result) {
      long now = link.now();
      HttpResponse answer =
          result instanceof HttpCallResult.Completed completed ? completed.response() : null;
      RequestOutcome ending = outcome(result);
      boolean good = ending == RequestOutcome.SUCCEEDED;
      router.attemptEnded(task, good, now);
      tally.attemptEnded(
          task,
          good,
          now - began,
          answer == null ? null : LoadHeader.read(answer.header(LoadHeader.NAME)));
      if (good) {
        finish(HttpResponse.of(200, answer.text()));
        return;
      }
      proven &= ending.provesNotExecuted();
      if (router.mayRetry(type, new RequestProgress(tries, proven, firstAt, until), now)) {
        send(task);
      } else {
        finish(ending == RequestOutcome.TIMED_OUT ? failed(504, "timeout") : failed(503, "failed"));
      }
    }

    private HttpResponse failed(int status, String why) {
      if (proven) {
        return refusal(status, why);
      }
      return HttpResponse.of(status, why + "\n")
          .setHeader("retry-after", "1")
          .setHeader("x-reason", why);
    }

    private void finish(HttpResponse answer) {
      inHand--;
      if (answer.status() != 200) {
        tally.requestUnanswered(type);
      }
      exchange.respond(answer);
    }
  }
}
