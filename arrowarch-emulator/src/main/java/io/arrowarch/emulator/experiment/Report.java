package io.arrowarch.emulator.experiment;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** A table and plots; printed, and written as CSV, PNG and an HTML page. */
public final class Report {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 500;

  private final String title;
  private final ImmutableList<String> columns;
  private final List<ImmutableList<String>> rows = new ArrayList<>();
  private final Map<String, Plot> plots = new LinkedHashMap<>();

  /** Creates an empty report. */
  public Report(String title, String... columns) {
    this.title = title;
    this.columns = ImmutableList.copyOf(columns);
  }

  /** Lines over common axes. */
  private record Plot(String xAxis, String yAxis, Map<String, Line> lines) {}

  private record Line(ImmutableList<Double> x, ImmutableList<Double> y) {}

  /** Adds a row; as many cells as columns. */
  public void addRow(Object... cells) {
    ImmutableList.Builder<String> row = ImmutableList.builder();
    for (Object cell : cells) {
      row.add(cell instanceof Double number ? format(number) : cell.toString());
    }
    rows.add(row.build());
  }

  /** Adds a line to a plot, which is created when new. */
  public void addLine(
      String plot, String xAxis, String yAxis, String name, double[] x, double[] y) {
    plots
        .computeIfAbsent(plot, key -> new Plot(xAxis, yAxis, new LinkedHashMap<>()))
        .lines()
        .put(
            name,
            new Line(
                ImmutableList.copyOf(Doubles.asList(x)), ImmutableList.copyOf(Doubles.asList(y))));
  }

  /** The table for a terminal. */
  public String table() {
    int[] widths = new int[columns.size()];
    List<ImmutableList<String>> lines = new ArrayList<>();
    lines.add(columns);
    lines.addAll(rows);
    for (ImmutableList<String> line : lines) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], line.get(i).length());
      }
    }
    StringBuilder text = new StringBuilder(title).append('\n');
    for (ImmutableList<String> line : lines) {
      for (int i = 0; i < widths.length; i++) {
        text.append(String.format("%-" + (widths[i] + 2) + "s", line.get(i)));
      }
      text.append('\n');
    }
    return text.toString();
  }

  /** Writes {@code table.csv}, a PNG a plot and {@code report.html} into a directory. */
  public void write(Path directory) throws IOException {
    Files.createDirectories(directory);
    StringBuilder csv = new StringBuilder(String.join(",", columns)).append('\n');
    rows.forEach(row -> csv.append(String.join(",", row)).append('\n'));
    Files.writeString(directory.resolve("table.csv"), csv, StandardCharsets.UTF_8);
    for (Map.Entry<String, Plot> plot : plots.entrySet()) {
      BitmapEncoder.saveBitmap(
          chart(plot.getKey(), plot.getValue()),
          directory.resolve(fileName(plot.getKey())).toString(),
          BitmapEncoder.BitmapFormat.PNG);
    }
    Files.writeString(directory.resolve("report.html"), html(), StandardCharsets.UTF_8);
  }

  private static XYChart chart(String name, Plot plot) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(name)
            .xAxisTitle(plot.xAxis())
            .yAxisTitle(plot.yAxis())
            .build();
    plot.lines()
        .forEach(
            (line, points) ->
                chart.addSeries(line, points.x(), points.y()).setMarker(SeriesMarkers.NONE));
    return chart;
  }

  private String html() {
    StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>");
    page.append(title).append("</title><h1>").append(title).append("</h1><pre>");
    page.append(table()).append("</pre>");
    plots
        .keySet()
        .forEach(
            plot ->
                page.append("<img src=\"")
                    .append(fileName(plot))
                    .append(".png\" alt=\"")
                    .append(plot)
                    .append("\">"));
    return page.append('\n').toString();
  }

  private static String fileName(String plot) {
    return plot.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "-");
  }

  private static String format(double number) {
    return String.format(Locale.ROOT, Math.abs(number) < 10 ? "%.4f" : "%.1f", number);
  }
}
