package io.stackhall.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * After a restart of all hosts a quorum named version 500 to an entry host that held version 1, and
 * the host took that for a word on version 1. It refused the routes that the 499 changes in between
 * had added, until it was told the newest.
 *
 * <pre>
 * routes.confirmed version=1
 * routes.obeyed version=1 heard=500 confirmed=500
 * </pre>
 */
class RoutesTrustTest {

    private static final Duration PATIENCE = Duration.ofSeconds(4);
    private static final long NONE = -1;

    private final RoutesTrust trust = new RoutesTrust(PATIENCE);

    @Test
    void wordOnTheNewestIsNoneOnAnOlderOne() {
        trust.holds(1, 0);
        trust.confirmed(500, 0);
        assertThat(trust.mayObey(NONE, 0)).isFalse();
        assertThat(trust.lacksNewest()).isTrue();
        trust.holds(500, 0);
        assertThat(trust.mayObey(NONE, 0)).isTrue();
    }

    @Test
    void whatIsNewerThanTheQuorumsWordIsObeyedAtOnce() {
        trust.confirmed(5, 0);
        trust.holds(7, 0);
        assertThat(trust.mayObey(NONE, 0)).isTrue();
        assertThat(trust.mayObey(7, 0)).isFalse();
    }

    @Test
    void withoutAQuorumWhatIsHeldServesAfterAWhile() {
        trust.holds(3, 0);
        assertThat(trust.mayObey(NONE, PATIENCE.toNanos() - 1)).isFalse();
        assertThat(trust.mayObey(NONE, PATIENCE.toNanos())).isTrue();
    }

    @Test
    void newsPutOffWhatIsOlder() {
        trust.holds(3, 0);
        trust.heard(9, PATIENCE.toNanos() - 1);
        assertThat(trust.mayObey(NONE, PATIENCE.toNanos())).isFalse();
        assertThat(trust.mayObey(NONE, 2 * PATIENCE.toNanos())).isTrue();
    }

    /** What control hosts tell, in any order. */
    sealed interface Word {
        /** A version that a control host knows. */
        record Heard(long version) implements Word {}

        /** A configuration, whole. */
        record Holds(long version) implements Word {}

        /** The version that a quorum names as the newest. */
        record Confirmed(long version) implements Word {}
    }

    @Provide
    Arbitrary<List<Word>> words() {
        Arbitrary<Long> versions = Arbitraries.longs().between(0, 20);
        Arbitrary<Word> word =
                Combinators.combine(Arbitraries.integers().between(0, 2), versions)
                        .as(
                                (kind, version) ->
                                        switch (kind) {
                                            case 0 -> new Word.Heard(version);
                                            case 1 -> new Word.Holds(version);
                                            default -> new Word.Confirmed(version);
                                        });
        return word.list().ofMaxSize(30);
    }

    @Property
    void nothingOlderThanTheQuorumsWordIsObeyedWhileNewsCome(@ForAll("words") List<Word> words) {
        RoutesTrust each = new RoutesTrust(PATIENCE);
        long newestNamed = NONE;
        long newestHeld = NONE;
        for (Word word : words) {
            switch (word) {
                case Word.Heard(long version) -> each.heard(version, 0);
                case Word.Holds(long version) -> {
                    each.holds(version, 0);
                    newestHeld = Math.max(newestHeld, version);
                }
                case Word.Confirmed(long version) -> {
                    each.confirmed(version, 0);
                    newestNamed = Math.max(newestNamed, version);
                }
            }
            boolean mayServe = newestNamed != NONE && newestHeld >= newestNamed;
            assertThat(each.mayObey(NONE, 0)).isEqualTo(mayServe);
        }
    }
}
