package io.stackhall.server.settings;

import com.fasterxml.jackson.core.JsonToken;
import io.stackhall.core.config.Finding;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** One object of the settings, read key by key; what is left unread is unknown. */
final class Section {

    private static final double NANOS_PER_MILLI = 1e6;

    private final LocatedJson.ObjectNode node;
    private final List<Finding> findings;
    private final Set<String> read = new HashSet<>();

    private Section(LocatedJson.ObjectNode node, List<Finding> findings) {
        this.node = node;
        this.findings = findings;
    }

    static Section of(LocatedJson.Node node, List<Finding> findings) {
        if (node instanceof LocatedJson.ObjectNode object) {
            return new Section(object, findings);
        }
        findings.add(new Finding(node.place(), "must be an object"));
        return new Section(new LocatedJson.ObjectNode(node.place(), "", Map.of()), findings);
    }

    String place() {
        return node.place();
    }

    /** Returns a text parsed, or nothing and a finding. */
    <T> Optional<T> required(String key, Function<String, T> parse) {
        if (!node.members().containsKey(key)) {
            findings.add(new Finding(node.place(), "'" + key + "' is missing"));
            return Optional.empty();
        }
        return optional(key, parse);
    }

    <T> Optional<T> optional(String key, Function<String, T> parse) {
        read.add(key);
        LocatedJson.Node value = node.members().get(key);
        return value == null ? Optional.empty() : text(value, parse);
    }

    /** Returns a whole number within a range, or the default. */
    int number(String key, int otherwise, int lowest, int highest) {
        Optional<LocatedJson.ScalarNode> figure = figure(key, "must be a whole number");
        if (figure.isEmpty()) {
            return otherwise;
        }
        LocatedJson.ScalarNode scalar = figure.get();
        double number = value(scalar);
        if (number != Math.rint(number)) {
            findings.add(new Finding(scalar.place(), scalar.text() + " is no whole number"));
            return otherwise;
        }
        boolean within = number >= lowest && number <= highest;
        return isWithin(within, scalar, lowest + " to " + highest) ? (int) number : otherwise;
    }

    /** Returns a number within a range, whole or not, or the default. */
    double decimal(String key, double otherwise, double lowest, double highest) {
        Optional<LocatedJson.ScalarNode> figure = figure(key, "must be a number");
        if (figure.isEmpty()) {
            return otherwise;
        }
        double number = value(figure.get());
        boolean within = number >= lowest && number <= highest;
        return isWithin(within, figure.get(), lowest + " to " + highest) ? number : otherwise;
    }

    /** Returns the number under a key, or nothing, and a finding where another thing is there. */
    private Optional<LocatedJson.ScalarNode> figure(String key, String complaint) {
        read.add(key);
        LocatedJson.Node value = node.members().get(key);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof LocatedJson.ScalarNode scalar && scalar.token().isNumeric()) {
            return Optional.of(scalar);
        }
        findings.add(new Finding(value.place(), complaint));
        return Optional.empty();
    }

    private static double value(LocatedJson.ScalarNode scalar) {
        return Double.parseDouble(scalar.text());
    }

    private boolean isWithin(boolean within, LocatedJson.ScalarNode scalar, String range) {
        if (!within) {
            findings.add(new Finding(scalar.place(), scalar.text() + " is not in " + range));
        }
        return within;
    }

    /** Returns a time within a range in milliseconds, whole or not, or the default. */
    Duration decimalMillis(String key, int otherwise, int lowest, int highest) {
        double millis = decimal(key, otherwise, lowest, highest);
        return Duration.ofNanos(Math.round(millis * NANOS_PER_MILLI));
    }

    Duration millis(String key, int otherwise, int lowest, int highest) {
        return Duration.ofMillis(number(key, otherwise, lowest, highest));
    }

    /** Returns a nested object, empty where it is missing. */
    Section section(String key) {
        read.add(key);
        LocatedJson.Node value = node.members().get(key);
        if (value == null) {
            return new Section(new LocatedJson.ObjectNode(node.place(), "", Map.of()), findings);
        }
        return of(value, findings);
    }

    /** Returns the items of an array, each as an object. */
    List<Section> sections(String key) {
        return items(key).stream().map(item -> of(item, findings)).toList();
    }

    /** Returns the items of an array of texts, parsed. */
    <T> List<T> list(String key, Function<String, T> parse) {
        List<T> parsed = new ArrayList<>();
        items(key).forEach(item -> text(item, parse).ifPresent(parsed::add));
        return parsed;
    }

    /** Returns the keys of an object whose keys are names. */
    Set<String> names() {
        return node.members().keySet();
    }

    /** Adds a finding for each key that was not read. */
    void finish() {
        node.members()
                .forEach(
                        (key, value) -> {
                            if (!read.contains(key)) {
                                findings.add(
                                        new Finding(value.place(), "unknown key '" + key + "'"));
                            }
                        });
    }

    private List<LocatedJson.Node> items(String key) {
        read.add(key);
        LocatedJson.Node value = node.members().get(key);
        if (value instanceof LocatedJson.ArrayNode array) {
            return array.items();
        }
        String place = value == null ? node.place() : value.place();
        findings.add(new Finding(place, "'" + key + "' must be an array"));
        return List.of();
    }

    private <T> Optional<T> text(LocatedJson.Node value, Function<String, T> parse) {
        boolean string =
                value instanceof LocatedJson.ScalarNode scalar
                        && scalar.token() == JsonToken.VALUE_STRING;
        if (!string) {
            findings.add(new Finding(value.place(), "must be a string"));
            return Optional.empty();
        }
        try {
            return Optional.of(parse.apply(((LocatedJson.ScalarNode) value).text()));
        } catch (IllegalArgumentException e) {
            findings.add(new Finding(value.place(), e.getMessage()));
            return Optional.empty();
        }
    }
}
