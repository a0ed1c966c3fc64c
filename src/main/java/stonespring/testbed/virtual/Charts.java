package stonespring.testbed.virtual;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/** A comparison as pictures. */
public final class Charts {
  private static final int WIDTH = 1100; // pixels
  private static final int HEIGHT = 520; // pixels

  private Charts() {}

  /** Writes service.png and connections.png; the folder is made where it is missing. */
  public static List<Path> write(List<Comparison.Row> rows, Path folder) throws IOException {
    Files.createDirectories(folder);
    return List.of(
        chart(
            rows,
            "Service by load, 95% spans (simulated tasks)",
            "served in time",
            folder.resolve("service.png"),
            r -> r.service().mean(),
            r -> (r.service().high() - r.service().low()) / 2),
        chart(
            rows,
            "Connections opened by load (simulated tasks)",
            "connections",
            folder.resolve("connections.png"),
            Comparison.Row::connections,
            r -> 0));
  }

  private static Path chart(
      List<Comparison.Row> rows,
      String title,
      String axis,
      Path file,
      ToDoubleFunction<Comparison.Row> of,
      ToDoubleFunction<Comparison.Row> span)
      throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("load")
            .yAxisTitle(axis)
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    List<String> loads =
        new ArrayList<>(new LinkedHashSet<>(rows.stream().map(Comparison.Row::load).toList()));
    double lowest =
        rows.stream().mapToDouble(r -> of.applyAsDouble(r) - span.applyAsDouble(r)).min().orElse(0);
    chart
        .getStyler()
        .setYAxisMin(
            lowest > 0 && lowest < 1 ? Math.floor(20 * lowest) / 20 - 0.05 : 0); // shares lie close
    for (Policy policy : new LinkedHashSet<>(rows.stream().map(Comparison.Row::policy).toList())) {
      List<Comparison.Row> own = rows.stream().filter(r -> r.policy() == policy).toList();
      chart.addSeries(
          policy.name().toLowerCase(Locale.ROOT),
          loads,
          own.stream().map(r -> (Number) of.applyAsDouble(r)).toList(),
          own.stream().map(r -> (Number) span.applyAsDouble(r)).toList());
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    return file;
  }
}
