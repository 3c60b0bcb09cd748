package io.stackhall.server.explain;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log.
 *
 * @param process who wrote it: what stands before the JSON, or the file's name
 * @param time as written, in UTC
 * @param message the event's name and its fields
 */
public record LogLine(String process, String time, String message) implements Comparable<LogLine> {

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final Pattern FIELD = Pattern.compile("(?:^| )([A-Za-z]+)=(\\S*)");

    /** Reads a line; what is no JSON line of a log is passed over. */
    public static Optional<LogLine> parse(String file, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        String before = text.substring(0, start).strip();
        String time = "";
        String message = "";
        try (JsonParser parser = FACTORY.createParser(text.substring(start))) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "time" -> time = parser.getText();
                    case "message" -> message = parser.getText();
                    default -> parser.skipChildren();
                }
            }
        } catch (IOException e) {
            return Optional.empty();
        }
        return message.isEmpty()
                ? Optional.empty()
                : Optional.of(new LogLine(before.isEmpty() ? file : before, time, message));
    }

    /** Returns the event's name. */
    public String event() {
        int space = message.indexOf(' ');
        return space < 0 ? message : message.substring(0, space);
    }

    /** Returns a field of the event, empty where it has none. */
    public String field(String name) {
        Matcher matcher = FIELD.matcher(message);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return matcher.group(2);
            }
        }
        return "";
    }

    @Override
    public int compareTo(LogLine other) {
        return time.compareTo(other.time);
    }

    @Override
    public String toString() {
        return time + " " + process + " " + message;
    }
}
