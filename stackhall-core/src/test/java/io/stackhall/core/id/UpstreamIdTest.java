package io.stackhall.core.id;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests of the incarnations of upstreams and their text form. */
class UpstreamIdTest {

    @Property
    void textRoundTrips(@ForAll("names") String name, @ForAll @LongRange(min = 0) long bornMillis) {
        UpstreamId id = new UpstreamId(name, bornMillis % 1_000_000_000_000_000L);
        assertThat(UpstreamId.parse(id.toString())).isEqualTo(id);
    }

    @Provide
    Arbitrary<String> names() {
        return Arbitraries.strings().withChars("a1@-").ofMinLength(1).ofMaxLength(12);
    }

    @Test
    void idWithoutStartIsItsName() {
        assertThat(new UpstreamId("i-1")).hasToString("i-1");
        assertThat(new UpstreamId("i-1", 17)).hasToString("i-1@17");
    }

    @Test
    void startedAfterComparesIncarnationsOfOneName() {
        UpstreamId earlier = new UpstreamId("i-1", 5);
        assertThat(new UpstreamId("i-1", 6).startedAfter(earlier)).isTrue();
        assertThat(earlier.startedAfter(earlier)).isFalse();
        assertThat(new UpstreamId("i-2", 6).startedAfter(earlier)).isFalse();
    }

    @Test
    void negativeStartIsRejected() {
        assertThatThrownBy(() -> new UpstreamId("i-1", -3)).hasMessageContaining("-3");
    }
}
