package io.stackhall.server.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import io.stackhall.core.config.Finding;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into nodes that know their line, column and JSON pointer. */
final class LocatedJson {

    private final List<Finding> findings;

    private LocatedJson(List<Finding> findings) {
        this.findings = findings;
    }

    /** A JSON value and where it stands. */
    sealed interface Node {
        /** Returns where it stands, as {@code line:column pointer}. */
        String place();
    }

    /** An object. */
    record ObjectNode(String place, String pointer, Map<String, Node> members) implements Node {}

    /** An array. */
    record ArrayNode(String place, List<Node> items) implements Node {}

    /** A string, number, boolean or null. */
    record ScalarNode(String place, JsonToken token, String text) implements Node {}

    /** Parses a text; syntax errors and doubled keys are added to the findings. */
    static Node parse(String text, List<Finding> findings) {
        LocatedJson reader = new LocatedJson(findings);
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null) {
                findings.add(new Finding("1:1 ", "the file is empty"));
                return new ScalarNode("1:1 ", JsonToken.VALUE_NULL, "");
            }
            Node root = reader.value(parser, "");
            if (parser.nextToken() != null) {
                findings.add(new Finding(place(parser, ""), "text behind the end"));
            }
            return root;
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            findings.add(
                    new Finding(
                            at.getLineNr() + ":" + at.getColumnNr() + " ",
                            "not JSON: " + e.getOriginalMessage()));
            return new ScalarNode("1:1 ", JsonToken.VALUE_NULL, "");
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be read", e);
        }
    }

    private Node value(JsonParser parser, String pointer) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, pointer);
            case START_ARRAY -> array(parser, pointer);
            default ->
                    new ScalarNode(place(parser, pointer), parser.currentToken(), parser.getText());
        };
    }

    private Node object(JsonParser parser, String pointer) throws IOException {
        String place = place(parser, pointer);
        Map<String, Node> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String child = pointer + "/" + name;
            String childPlace = place(parser, child);
            parser.nextToken();
            Node value = value(parser, child);
            if (members.putIfAbsent(name, value) != null) {
                findings.add(new Finding(childPlace, "the key stands twice"));
            }
        }
        return new ObjectNode(place, pointer, members);
    }

    private Node array(JsonParser parser, String pointer) throws IOException {
        String place = place(parser, pointer);
        List<Node> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(parser, pointer + "/" + items.size()));
        }
        return new ArrayNode(place, items);
    }

    private static String place(JsonParser parser, String pointer) {
        JsonLocation at = parser.currentTokenLocation();
        return at.getLineNr() + ":" + at.getColumnNr() + " " + pointer;
    }
}
