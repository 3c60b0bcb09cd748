package io.stackhall.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Heads of which any bytes are spoiled, held against the grammar as one expression. */
class HeadSyntaxProperties {

    private static final String HEAD =
            String.join(
                    "\r\n",
                    "HTTP/1.1 200 OK",
                    "Content-Type: text/plain",
                    "X-Note: a",
                    "  b",
                    "Content-Length: 22",
                    "",
                    "");

    private static final String LINE_END = "\r?\n";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String FIELD = "[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + TEXT + LINE_END;
    private static final String FOLD = "[ \\t]" + TEXT + LINE_END;
    private static final String STATUS_LINE =
            "HTTP/1\\.[0-9] [1-5][0-9]{2}(?: " + TEXT + ")?" + LINE_END;
    private static final Pattern WELL_FORMED =
            Pattern.compile(
                    String.format(
                            "(?:%1$s)*%2$s(?:%1$s)*(?:%3$s(?:%4$s|%1$s)*)*",
                            LINE_END, STATUS_LINE, FIELD, FOLD));

    // Tolerant decoders took other statuses, names and lengths out of such heads.
    @Property
    void spoiledHeadPassesForAWellFormedOne(@ForAll("spoiledHeads") String head) {
        HeadSyntax syntax = new HeadSyntax();
        String closed = head + "\r\n\r\n";
        assertThat(accepts(syntax, closed)).isEqualTo(WELL_FORMED.matcher(closed).matches());
        assertThat(syntax.fault().isEmpty()).isEqualTo(WELL_FORMED.matcher(closed).matches());
    }

    @Property
    void headAfterASpoiledOneIsCheckedByItself(@ForAll("spoiledHeads") String head) {
        HeadSyntax syntax = new HeadSyntax();
        accepts(syntax, head);
        syntax.reset();
        assertThat(accepts(syntax, HEAD)).isTrue();
        assertThat(syntax.fault()).isEmpty();
    }

    @Provide
    Arbitrary<String> spoiledHeads() {
        Arbitrary<Character> octets = Arbitraries.chars().range('\0', '\u00ff');
        Arbitrary<Character> telling = Arbitraries.chars().with(" \t\r\n:\0\u000b\u007f0169/a");
        Arbitrary<String> spoiled = Arbitraries.just(HEAD);
        for (int times = 0; times < 3; times++) {
            spoiled = spoiled.flatMap(head -> spoiled(head, Arbitraries.oneOf(octets, telling)));
        }
        return spoiled;
    }

    /** Returns heads of which up to two bytes are replaced by one other byte. */
    private static Arbitrary<String> spoiled(String head, Arbitrary<Character> octets) {
        Arbitrary<Integer> replaced = Arbitraries.integers().between(0, 2);
        Arbitrary<Integer> places = Arbitraries.integers().between(0, head.length() - 2);
        return octets.flatMap(
                octet ->
                        replaced.flatMap(
                                count ->
                                        places.map(
                                                at ->
                                                        head.substring(0, at)
                                                                + octet
                                                                + head.substring(at + count))));
    }

    private static boolean accepts(HeadSyntax syntax, String head) {
        boolean accepted = true;
        for (byte octet : head.getBytes(StandardCharsets.ISO_8859_1)) {
            accepted = syntax.accept(octet);
        }
        return accepted;
    }
}
