package io.stackhall.server.compare;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Shows a comparison as one HTML page that needs nothing else: a table, and two plots over time.
 */
public final class ComparisonPage {

    private static final int WIDTH = 720;
    private static final int HEIGHT = 240;
    private static final int MARGIN = 44;
    private static final List<String> COLORS =
            List.of("#1b6ca8", "#c8553d", "#4b8f29", "#7a4fa3", "#8a6d1d", "#444444");

    private final PolicyComparison comparison;
    private final List<PolicyComparison.Result> results;

    /** Creates a page of what has been compared so far. */
    public ComparisonPage(PolicyComparison comparison) {
        this.comparison = comparison;
        this.results = comparison.results();
    }

    /** Returns the page. */
    public String html() {
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">")
                .append("<title>stackhall: policies compared</title>")
                .append("<style>body{font:15px sans-serif;margin:2em;max-width:60em}")
                .append("table{border-collapse:collapse}td,th{padding:.3em .8em;")
                .append("border-bottom:1px solid #ccc;text-align:right}")
                .append("td:first-child,th:first-child{text-align:left}</style>")
                .append("<h1>Policies compared</h1><p>Accelerators: ")
                .append(comparison.accelerators())
                .append("</p>");
        page.append(table());
        page.append("<h2>Share of requests attained</h2>");
        page.append(plot(false, PolicyTotals::attainment));
        page.append("<h2>Loads from the weight store, added up</h2>");
        page.append(plot(true, PolicyTotals::loads));
        return page.append("</html>\n").toString();
    }

    private String table() {
        StringBuilder table = new StringBuilder();
        table.append("<table><tr><th>policy<th>offered<th>attained<th>share")
                .append(
                        "<th>share per accelerator<th>loads<th>needless"
                                + "<th>arrivals<th>misses</tr>");
        for (PolicyComparison.Result result : results) {
            PolicyTotals totals = result.totals();
            table.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td>%s<td>%d<td>%d<td>%.4f<td>%.5f<td>%d<td>%d<td>%d<td>%d</tr>",
                            escape(result.policy()),
                            totals.offered(),
                            totals.attained(),
                            result.attainment(),
                            result.attainmentPerAccelerator(),
                            totals.loads(),
                            totals.needlessLoads(),
                            totals.arrivals(),
                            totals.misses()));
        }
        return table.append("</table>").toString();
    }

    /** Draws a line for each policy; only intervals in which it decided have a point. */
    private String plot(boolean addedUp, ToDoubleFunction<PolicyTotals> value) {
        List<Line> lines = new ArrayList<>();
        for (PolicyComparison.Result result : results) {
            lines.add(line(result.policy(), addedUp, value));
        }
        double highest = 1e-9;
        double end = 1e-9;
        for (Line line : lines) {
            for (Point point : line.points()) {
                highest = Math.max(highest, point.value());
                end = Math.max(end, point.seconds());
            }
        }
        StringBuilder plot = new StringBuilder();
        plot.append(
                String.format(
                        Locale.ROOT,
                        "<svg width=\"%d\" height=\"%d\" role=\"img\">"
                                + "<text x=\"0\" y=\"14\">%.2f</text>"
                                + "<text x=\"0\" y=\"%d\">0</text>"
                                + "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%.0f s</text>",
                        WIDTH,
                        HEIGHT + MARGIN,
                        highest,
                        HEIGHT,
                        WIDTH,
                        HEIGHT + 16,
                        end));
        for (int at = 0; at < lines.size(); at++) {
            plot.append(drawn(lines.get(at), COLORS.get(at % COLORS.size()), at, highest, end));
        }
        return plot.append("</svg>").toString();
    }

    private record Point(double seconds, double value) {}

    private record Line(String policy, List<Point> points) {}

    private Line line(String policy, boolean addedUp, ToDoubleFunction<PolicyTotals> value) {
        List<Point> points = new ArrayList<>();
        double sum = 0;
        for (PolicyComparison.Sample sample : comparison.samples()) {
            PolicyTotals totals = sample.byPolicy().get(policy);
            boolean counted = totals != null && (addedUp || totals.offered() > 0);
            if (counted) {
                sum += value.applyAsDouble(totals);
                points.add(
                        new Point(sample.seconds(), addedUp ? sum : value.applyAsDouble(totals)));
            }
        }
        return new Line(policy, points);
    }

    private static String drawn(Line line, String color, int place, double highest, double end) {
        StringBuilder points = new StringBuilder();
        for (Point point : line.points()) {
            double x = MARGIN + point.seconds() / end * (WIDTH - MARGIN);
            double y = HEIGHT - point.value() / highest * (HEIGHT - MARGIN / 2.0);
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
        }
        return String.format(
                Locale.ROOT,
                "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>"
                        + "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>",
                color,
                points.toString().strip(),
                MARGIN + place * (WIDTH - MARGIN) / COLORS.size() * 2,
                HEIGHT + MARGIN - 8,
                color,
                escape(line.policy()));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
