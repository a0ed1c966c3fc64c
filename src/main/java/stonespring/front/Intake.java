package stonespring.front;

import java.util.List;
import java.util.function.BiConsumer;
import stonespring.state.Hello;
import stonespring.state.Reports;
import stonespring.state.Update;

/**
 * Where the fronts hand over what proxies say; from any thread. {@code from} stands for the
 * connection that said it. Spans are in tenths of a millisecond. What can't be taken now is refused
 * by false: the front then ends the connection, and its proxy comes again.
 */
public interface Intake {
  /** A connection as the intake needs it: something to tell it apart by, and to end. */
  interface Origin {
    /** Ends it, with one line in the log. */
    void end(String cause);
  }

  boolean hello(String proxy, Hello hello, long holds, Origin from);

  boolean reported(
      String proxy, long span, List<Reports.Met> met, List<Reports.Came> came, Origin from);

  boolean answered(String proxy, String stream, int mark, long took, Origin from);

  /**
   * Hands the subtree's keys and the sequence that they stand at to {@code then}, which must not
   * block.
   */
  boolean snapshot(String subtree, BiConsumer<List<Update>, Long> then);

  /** A connection ended; never refused. */
  void closed(Origin from);
}
