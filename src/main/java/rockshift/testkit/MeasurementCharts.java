package rockshift.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws charts of measurements as PNG files, in headless mode. */
public final class MeasurementCharts {
    private MeasurementCharts() {}

    /** Draws a bar for each name. */
    public static void drawBars(
            Path file, String title, String unit, Map<String, ? extends Number> values)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(900)
                        .height(420)
                        .title(title)
                        .yAxisTitle(unit)
                        .build();
        chart.getStyler().setXAxisLabelRotation(30).setLegendVisible(false);
        chart.addSeries(
                unit, new ArrayList<>(values.keySet()), new ArrayList<Number>(values.values()));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Draws values as multiples of their budgets on a logarithmic axis; 1 is the limit. */
    public static void drawBudgetFactors(
            Path file, String title, Map<String, ? extends Number> values) throws IOException {
        System.setProperty("java.awt.headless", "true");
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(1_000)
                        .height(600)
                        .title(title)
                        .yAxisTitle("multiple of the budget")
                        .build();
        chart.getStyler().setYAxisLogarithmic(true);
        chart.getStyler().setXAxisLabelRotation(90);
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setYAxisMin(0.01);
        chart.getStyler().setYAxisMax(100.0);
        chart.addSeries(
                "factor", new ArrayList<>(values.keySet()), new ArrayList<Number>(values.values()));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /**
     * Draws the share of changes that took longer than each latency. The histogram is in
     * microseconds, the chart in ms.
     */
    public static void drawLatencyTail(Path file, String title, Histogram histogram)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<Double> latenciesMillis = new ArrayList<>();
        List<Double> slowerShares = new ArrayList<>();
        for (double percentile = 0;
                percentile < 99.99;
                percentile = 100 - (100 - percentile) * 0.8) {
            latenciesMillis.add(
                    Math.max(0.001, histogram.getValueAtPercentile(percentile) / 1_000.0));
            slowerShares.add((100 - percentile) / 100);
        }
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(420)
                        .title(title)
                        .xAxisTitle("ms")
                        .yAxisTitle("share that took longer")
                        .build();
        chart.getStyler()
                .setXAxisLogarithmic(true)
                .setYAxisLogarithmic(true)
                .setLegendVisible(false)
                .setMarkerSize(3);
        chart.addSeries("changes", latenciesMillis, slowerShares);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
