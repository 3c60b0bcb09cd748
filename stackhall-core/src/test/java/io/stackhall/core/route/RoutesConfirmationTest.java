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
 * When an entry host may activate a configuration.
 *
 * <p>The failure: after a restart of all hosts a quorum confirmed version 500 to an entry host that
 * held version 1, and the host took that as a confirmation of version 1. It refused requests for
 * the routes that the 499 changes in between had added, until it received the newest version. The
 * log showed:
 *
 * <pre>
 * routes.confirmed version=1
 * routes.obeyed version=1 heard=500 confirmed=500
 * </pre>
 */
class RoutesConfirmationTest {

    private static final Duration QUORUM_TIMEOUT = Duration.ofSeconds(4);
    private static final long NONE = -1;

    private final RoutesConfirmation confirmation = new RoutesConfirmation(QUORUM_TIMEOUT);

    @Test
    void confirmationOfTheNewestDoesNotConfirmAnOlderOne() {
        confirmation.received(1, 0);
        confirmation.confirmed(500, 0);
        assertThat(confirmation.mayActivate(NONE, 0)).isFalse();
        assertThat(confirmation.lacksNewest()).isTrue();
        confirmation.received(500, 0);
        assertThat(confirmation.mayActivate(NONE, 0)).isTrue();
    }

    @Test
    void versionNewerThanTheConfirmedOneIsActivatedAtOnce() {
        confirmation.confirmed(5, 0);
        confirmation.received(7, 0);
        assertThat(confirmation.mayActivate(NONE, 0)).isTrue();
        assertThat(confirmation.mayActivate(7, 0)).isFalse();
    }

    @Test
    void withoutAQuorumTheHeldVersionIsActivatedAfterATimeout() {
        confirmation.received(3, 0);
        assertThat(confirmation.mayActivate(NONE, QUORUM_TIMEOUT.toNanos() - 1)).isFalse();
        assertThat(confirmation.mayActivate(NONE, QUORUM_TIMEOUT.toNanos())).isTrue();
    }

    @Test
    void newerReportRestartsTheTimeout() {
        confirmation.received(3, 0);
        confirmation.reported(9, QUORUM_TIMEOUT.toNanos() - 1);
        assertThat(confirmation.mayActivate(NONE, QUORUM_TIMEOUT.toNanos())).isFalse();
        assertThat(confirmation.mayActivate(NONE, 2 * QUORUM_TIMEOUT.toNanos())).isTrue();
    }

    /** What control hosts send, in any order. */
    sealed interface Notice {
        /** A version that a control host knows. */
        record Reported(long version) implements Notice {}

        /** A whole configuration. */
        record Received(long version) implements Notice {}

        /** The version that a quorum confirms as the newest. */
        record Confirmed(long version) implements Notice {}
    }

    @Provide
    Arbitrary<List<Notice>> notices() {
        Arbitrary<Long> versions = Arbitraries.longs().between(0, 20);
        Arbitrary<Notice> notice =
                Combinators.combine(Arbitraries.integers().between(0, 2), versions)
                        .as(
                                (kind, version) ->
                                        switch (kind) {
                                            case 0 -> new Notice.Reported(version);
                                            case 1 -> new Notice.Received(version);
                                            default -> new Notice.Confirmed(version);
                                        });
        return notice.list().ofMaxSize(30);
    }

    @Property
    void nothingOlderThanTheConfirmedVersionIsActivatedWithinTheTimeout(
            @ForAll("notices") List<Notice> notices) {
        RoutesConfirmation confirmation = new RoutesConfirmation(QUORUM_TIMEOUT);
        long newestConfirmed = NONE;
        long newestHeld = NONE;
        for (Notice notice : notices) {
            switch (notice) {
                case Notice.Reported(long version) -> confirmation.reported(version, 0);
                case Notice.Received(long version) -> {
                    confirmation.received(version, 0);
                    newestHeld = Math.max(newestHeld, version);
                }
                case Notice.Confirmed(long version) -> {
                    confirmation.confirmed(version, 0);
                    newestConfirmed = Math.max(newestConfirmed, version);
                }
            }
            boolean mayActivate = newestConfirmed != NONE && newestHeld >= newestConfirmed;
            assertThat(confirmation.mayActivate(NONE, 0)).isEqualTo(mayActivate);
        }
    }
}
