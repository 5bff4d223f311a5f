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

/** Plots of the points that the nodes keep, as SVG. */
final class Plots {
  /** More lines than this cannot be told apart: the largest are drawn. */
  private static final int MOST_LINES = 8;

  private static final int WIDTH = 560;
  private static final int HEIGHT = 260;

  private final List<MetricSample> past;

  Plots(List<MetricSample> past) {
    this.past = past;
  }

  /** A plot with its title. */
  public record Plot(String title, String svg) {
    /** For the template. */
    public String getTitle() {
      return title;
    }

    /** For the template. */
    public String getSvg() {
      return svg;
    }
  }

  /** All of them. */
  List<Plot> all() {
    return List.of(
        plot("Waiting tasks by team", MetricSample::waiting),
        plot("Running tasks by team", MetricSample::running),
        plot("Waiting tasks by reason", s -> words(s.reasons())),
        plot("Machines by type and zone", MetricSample::machines),
        draw("Starts and ends a minute", rates()),
        draw("Money per hour", money()));
  }

  private static Map<String, Integer> words(Map<String, Integer> reasons) {
    Map<String, Integer> out = new TreeMap<>();
    for (PendingCause r : PendingCause.values()) {
      Integer n = reasons.get(r.name());
      if (n != null) {
        out.put(r.description(), n);
      }
    }
    return out;
  }

  private Plot plot(String title, Function<MetricSample, Map<String, Integer>> of) {
    TreeSet<String> names = new TreeSet<>();
    past.forEach(s -> names.addAll(of.apply(s).keySet()));
    TimeSeriesCollection lines = new TimeSeriesCollection();
    names.stream()
        .sorted(Comparator.comparingInt((String n) -> -most(n, of)))
        .limit(MOST_LINES)
        .forEach(
            n -> {
              TimeSeries line = new TimeSeries(n);
              past.forEach(s -> line.addOrUpdate(at(s), of.apply(s).getOrDefault(n, 0)));
              lines.addSeries(line);
            });
    return draw(title, lines);
  }

  private int most(String name, Function<MetricSample, Map<String, Integer>> of) {
    return past.stream().mapToInt(s -> of.apply(s).getOrDefault(name, 0)).max().orElse(0);
  }

  private TimeSeriesCollection rates() {
    TimeSeries starts = new TimeSeries("starts");
    TimeSeries ends = new TimeSeries("ends");
    for (int i = 1; i < past.size(); i++) {
      MetricSample a = past.get(i - 1);
      MetricSample b = past.get(i);
      double minutes = (b.atMs() - a.atMs()) / 60_000.0;
      // A new term counts from 0 again.
      if (a.term() == b.term() && minutes > 0) {
        starts.addOrUpdate(at(b), (b.started() - a.started()) / minutes);
        ends.addOrUpdate(at(b), (b.completed() - a.completed()) / minutes);
      }
    }
    TimeSeriesCollection out = new TimeSeriesCollection(starts);
    out.addSeries(ends);
    return out;
  }

  private TimeSeriesCollection money() {
    TimeSeries line = new TimeSeries("money per hour");
    past.forEach(s -> line.addOrUpdate(at(s), s.moneyPerHour()));
    return new TimeSeriesCollection(line);
  }

  private static Millisecond at(MetricSample s) {
    return new Millisecond(new Date(s.atMs()));
  }

  private static Plot draw(String title, TimeSeriesCollection lines) {
    JFreeChart chart =
        ChartFactory.createTimeSeriesChart(null, null, null, lines, true, false, false);
    chart.setBackgroundPaint(Color.WHITE);
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    plot.setDomainGridlinesVisible(false);
    plot.setOutlineVisible(false);
    plot.getRangeAxis().setLowerBound(0);
    // A single point is a line of no length: its mark is what is seen of it.
    XYLineAndShapeRenderer pen = new XYLineAndShapeRenderer(true, lines.getItemCount(0) < 2);
    pen.setDefaultStroke(new BasicStroke(1.6f));
    pen.setAutoPopulateSeriesStroke(false);
    plot.setRenderer(pen);
    Font small = new Font(Font.SANS_SERIF, Font.PLAIN, 11);
    plot.getDomainAxis().setTickLabelFont(small);
    plot.getRangeAxis().setTickLabelFont(small);
    if (chart.getLegend() != null) {
      chart.getLegend().setItemFont(small);
    }
    SVGGraphics2D g = new SVGGraphics2D(WIDTH, HEIGHT, SVGUnits.PX);
    g.setDefsKeyPrefix(title.replaceAll("[^A-Za-z]", ""));
    chart.draw(g, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    return new Plot(title, g.getSVGElement());
  }
}
