package io.stackhall.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Finds the number in the id field of an event, without making a text of the event. */
final class EventIdParser {

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private EventIdParser() {}

    /**
     * Returns the value of the first id field of an event, empty if it has none or if that is not a
     * number.
     *
     * @param bytes holds the event
     * @param from the index of its first byte
     * @param to the index after its last byte
     */
    static OptionalLong parse(byte[] bytes, int from, int to) {
        int line = from;
        while (line < to) {
            int lineEnd = lineEnd(bytes, line, to);
            if (beginsWithField(bytes, line, lineEnd)) {
                return number(bytes, line + ID_FIELD.length, lineEnd);
            }
            line = lineEnd + 1;
        }
        return OptionalLong.empty();
    }

    private static int lineEnd(byte[] bytes, int from, int to) {
        int index = from;
        while (index < to && bytes[index] != '\n' && bytes[index] != '\r') {
            index++;
        }
        return index;
    }

    private static boolean beginsWithField(byte[] bytes, int from, int to) {
        return to - from >= ID_FIELD.length
                && bytes[from] == ID_FIELD[0]
                && bytes[from + 1] == ID_FIELD[1]
                && bytes[from + 2] == ID_FIELD[2];
    }

    private static OptionalLong number(byte[] bytes, int from, int to) {
        String text = new String(bytes, from, to - from, StandardCharsets.UTF_8).strip();
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
