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

/** Draws the rows of a comparison as bar charts. */
public final class ComparisonCharts {
  private static final int WIDTH_PIXELS = 1100;
  private static final int HEIGHT_PIXELS = 520;

  /**
   * Number of steps into which an axis of fractions from 0 to 1 is divided. The axis starts between
   * one and two steps below the lowest value instead of at 0, because fractions that are close
   * together are hard to tell apart on an axis from 0.
   */
  private static final int FRACTION_AXIS_STEPS = 20;

  /** Distance from the start of the axis to the step at or below the lowest value. */
  private static final double FRACTION_AXIS_MARGIN = 0.05;

  private ComparisonCharts() {}

  /**
   * Writes service.png and connections.png.
   *
   * @param folder created if missing
   * @return the paths of the written files
   * @throws IOException if the folder or a file can't be written
   */
  public static List<Path> write(List<ComparisonRow> rows, Path folder) throws IOException {
    Files.createDirectories(folder);
    CategoryChart serviceChart =
        chart(
            rows,
            "Service by load, with 95% confidence intervals (simulated endpoints)",
            "fraction answered within the latency objective",
            row -> row.service().mean(),
            row -> (row.service().high() - row.service().low()) / 2);
    CategoryChart connectionsChart =
        chart(
            rows,
            "Connections opened by load (simulated endpoints)",
            "connections",
            row -> row.averages().connections(),
            row -> 0);
    return List.of(
        save(serviceChart, folder.resolve("service.png")),
        save(connectionsChart, folder.resolve("connections.png")));
  }

  private static Path save(CategoryChart chart, Path file) throws IOException {
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    return file;
  }

  private static CategoryChart chart(
      List<ComparisonRow> rows,
      String title,
      String valueTitle,
      ToDoubleFunction<ComparisonRow> value,
      ToDoubleFunction<ComparisonRow> error) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("load")
            .yAxisTitle(valueTitle)
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    chart.getStyler().setYAxisMin(axisMinimum(rows, value, error));
    List<String> loads =
        new ArrayList<>(new LinkedHashSet<>(rows.stream().map(ComparisonRow::load).toList()));
    for (Policy policy : new LinkedHashSet<>(rows.stream().map(ComparisonRow::policy).toList())) {
      List<ComparisonRow> rowsOfPolicy =
          rows.stream().filter(row -> row.policy() == policy).toList();
      chart.addSeries(
          policy.name().toLowerCase(Locale.ROOT),
          loads,
          values(rowsOfPolicy, value),
          values(rowsOfPolicy, error));
    }
    return chart;
  }

  private static double axisMinimum(
      List<ComparisonRow> rows,
      ToDoubleFunction<ComparisonRow> value,
      ToDoubleFunction<ComparisonRow> error) {
    double lowest =
        rows.stream()
            .mapToDouble(row -> value.applyAsDouble(row) - error.applyAsDouble(row))
            .min()
            .orElse(0);
    boolean fraction = lowest > 0 && lowest < 1;
    if (!fraction) {
      return 0;
    }
    return Math.floor(FRACTION_AXIS_STEPS * lowest) / FRACTION_AXIS_STEPS - FRACTION_AXIS_MARGIN;
  }

  private static List<Number> values(
      List<ComparisonRow> rows, ToDoubleFunction<ComparisonRow> figure) {
    return rows.stream().map(row -> (Number) figure.applyAsDouble(row)).toList();
  }
}
