package io.stackhall.core.path;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What a refused connection to one upstream says, by those to others. */
class LinkEvidenceTest {

    @Test
    void hostWhoseOtherConnectionsFailAsWellBlamesItself() {
        LinkEvidence evidence = new LinkEvidence(12, 12);
        assertThat(evidence.wanted()).isEqualTo(3);
        evidence.record(false);
        assertThat(evidence.verdict()).isEmpty();
        evidence.record(false);
        assertThat(evidence.verdict()).contains(false);
    }

    // Two upstreams that ended under the same request passed for lost links, and nobody was
    // accused.
    @Test
    void oneOtherUpstreamThatHasEndedTooDoesNotPassForLostLinks() {
        LinkEvidence evidence = new LinkEvidence(12, 12);
        evidence.record(false);
        evidence.record(true);
        evidence.record(true);
        assertThat(evidence.verdict()).contains(true);
    }

    @Test
    void hostThatReachesFewOfTheOthersBlamesItselfAtOnce() {
        LinkEvidence evidence = new LinkEvidence(12, 2);
        assertThat(evidence.wanted()).isZero();
        assertThat(evidence.verdict()).contains(false);
    }

    @Test
    void oneOfTwoOthersIsEnoughAndNoneOfNone() {
        LinkEvidence evidence = new LinkEvidence(2, 1);
        assertThat(evidence.wanted()).isEqualTo(1);
        evidence.record(true);
        assertThat(evidence.verdict()).contains(true);
        assertThat(new LinkEvidence(0, 0).verdict()).contains(true);
    }
}
