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

/** Pictures of measurements, drawn without a screen. */
public final class Charts {
    private Charts() {}

    /** Bars by name. */
    public static void bars(
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

    /** Times a budget by name, on a logarithmic axis: what ends below 1 holds. */
    public static void factors(Path file, String title, Map<String, ? extends Number> values)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(1_000)
                        .height(600)
                        .title(title)
                        .yAxisTitle("times the budget")
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
     * The share of values that are slower, against the value: the tail of a histogram in us, in ms.
     */
    public static void tail(Path file, String title, Histogram taken) throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<Double> at = new ArrayList<>();
        List<Double> slower = new ArrayList<>();
        for (double percentile = 0;
                percentile < 99.99;
                percentile = 100 - (100 - percentile) * 0.8) {
            at.add(Math.max(0.001, taken.getValueAtPercentile(percentile) / 1_000.0));
            slower.add((100 - percentile) / 100);
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
        chart.addSeries("changes", at, slower);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
