package stonespring.proxyapi;

import java.util.List;
import java.util.function.BiConsumer;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyHello;
import stonespring.state.ReportAggregator;

/**
 * Where the fronts hand over what proxies say; from any thread. {@code from} stands for the
 * connection that said it. Spans are in tenths of a millisecond. What can't be taken now is refused
 * by false: the front then ends the connection, and its proxy comes again.
 */
public interface ProxyMessageHandler {
  /** A connection as the intake needs it: something to tell it apart by, and to end. */
  interface Origin {
    /** Ends it, with one line in the log. */
    void end(String cause);
  }

  boolean hello(String proxy, ProxyHello hello, long holds, Origin from);

  boolean reported(
      String proxy,
      long span,
      List<ReportAggregator.Met> met,
      List<ReportAggregator.Came> came,
      Origin from);

  boolean answered(String proxy, String stream, int mark, long took, Origin from);

  /**
   * Hands the subtree's keys and the sequence that they stand at to {@code then}, which must not
   * block.
   */
  boolean snapshot(String subtree, BiConsumer<List<KeyUpdate>, Long> then);

  /** A connection ended; never refused. */
  void closed(Origin from);
}
