package org.mallowroad.console.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.util.Comparator;
import java.util.Date;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.time.Millisecond;
import org.jfree.data.time.TimeSeries;
import org.jfree.data.time.TimeSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import org.jfree.svg.SVGUnits;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.PendingCause;

/** Plots the metric samples that the nodes keep, as SVG. */
final class Plots {
  /**
   * The maximum number of lines in a plot, as more cannot be told apart; the series with the
   * highest maxima are drawn.
   */
  private static final int MAX_SERIES = 8;

  private static final int WIDTH = 560;
  private static final int HEIGHT = 260;

  private final List<MetricSample> samples;

  Plots(List<MetricSample> samples) {
    this.samples = samples;
  }

  /** A plot as an SVG element, with its title. */
  public record Plot(String title, String svg) {
    /** Read by the report template. */
    public String getTitle() {
      return title;
    }

    /** Read by the report template. */
    public String getSvg() {
      return svg;
    }
  }

  /** Draws all plots. */
  List<Plot> drawAll() {
    return List.of(
        plotLargest("Waiting tasks by team", MetricSample::waiting),
        plotLargest("Running tasks by team", MetricSample::running),
        plotLargest("Waiting tasks by reason", sample -> withDescriptions(sample.reasons())),
        plotLargest("Machines by type and zone", MetricSample::machines),
        draw("Starts and ends per minute", startAndEndRates()),
        draw("Money per hour", costPerHour()));
  }

  private static Map<String, Integer> withDescriptions(Map<String, Integer> reasons) {
    Map<String, Integer> result = new TreeMap<>();
    for (PendingCause cause : PendingCause.values()) {
      Integer tasks = reasons.get(cause.name());
      if (tasks != null) {
        result.put(cause.description(), tasks);
      }
    }
    return result;
  }

  private Plot plotLargest(String title, Function<MetricSample, Map<String, Integer>> values) {
    TreeSet<String> names = new TreeSet<>();
    samples.forEach(sample -> names.addAll(values.apply(sample).keySet()));
    TimeSeriesCollection dataset = new TimeSeriesCollection();
    names.stream()
        .sorted(Comparator.comparingInt((String name) -> -maximum(name, values)))
        .limit(MAX_SERIES)
        .forEach(
            name -> {
              TimeSeries series = new TimeSeries(name);
              samples.forEach(
                  sample ->
                      series.addOrUpdate(
                          timeOf(sample), values.apply(sample).getOrDefault(name, 0)));
              dataset.addSeries(series);
            });
    return draw(title, dataset);
  }

  private int maximum(String name, Function<MetricSample, Map<String, Integer>> values) {
    return samples.stream()
        .mapToInt(sample -> values.apply(sample).getOrDefault(name, 0))
        .max()
        .orElse(0);
  }

  private TimeSeriesCollection startAndEndRates() {
    TimeSeries starts = new TimeSeries("starts");
    TimeSeries ends = new TimeSeries("ends");
    for (int i = 1; i < samples.size(); i++) {
      MetricSample previous = samples.get(i - 1);
      MetricSample current = samples.get(i);
      double minutes = (current.atMs() - previous.atMs()) / 60_000.0;
      // The counters restart at 0 in each term, so no rate spans two terms.
      if (previous.term() == current.term() && minutes > 0) {
        starts.addOrUpdate(timeOf(current), (current.started() - previous.started()) / minutes);
        ends.addOrUpdate(timeOf(current), (current.completed() - previous.completed()) / minutes);
      }
    }
    TimeSeriesCollection dataset = new TimeSeriesCollection(starts);
    dataset.addSeries(ends);
    return dataset;
  }

  private TimeSeriesCollection costPerHour() {
    TimeSeries series = new TimeSeries("money per hour");
    samples.forEach(sample -> series.addOrUpdate(timeOf(sample), sample.moneyPerHour()));
    return new TimeSeriesCollection(series);
  }

  private static Millisecond timeOf(MetricSample sample) {
    return new Millisecond(new Date(sample.atMs()));
  }

  private static Plot draw(String title, TimeSeriesCollection dataset) {
    JFreeChart chart =
        ChartFactory.createTimeSeriesChart(null, null, null, dataset, true, false, false);
    chart.setBackgroundPaint(Color.WHITE);
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    plot.setDomainGridlinesVisible(false);
    plot.setOutlineVisible(false);
    plot.getRangeAxis().setLowerBound(0);
    // A series with a single point has no visible line, so the point gets a marker.
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, dataset.getItemCount(0) < 2);
    renderer.setDefaultStroke(new BasicStroke(1.6f));
    renderer.setAutoPopulateSeriesStroke(false);
    plot.setRenderer(renderer);
    Font smallFont = new Font(Font.SANS_SERIF, Font.PLAIN, 11);
    plot.getDomainAxis().setTickLabelFont(smallFont);
    plot.getRangeAxis().setTickLabelFont(smallFont);
    if (chart.getLegend() != null) {
      chart.getLegend().setItemFont(smallFont);
    }
    SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, HEIGHT, SVGUnits.PX);
    graphics.setDefsKeyPrefix(title.replaceAll("[^A-Za-z]", ""));
    chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    return new Plot(title, graphics.getSVGElement());
  }
}
