package io.stackhall.core.answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.stackhall.core.answer.ConnectionHistory.Owner;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which requests a connection may carry, and to whom its answers belong. */
class ConnectionHistoryTest {

    private static final int MAX_REQUESTS = 512;

    private final ConnectionHistory history = new ConnectionHistory();

    @Test
    void idIsCarriedOnce() {
        history.begin(named("a"), false);
        history.begin(named("b"), false);
        assertThat(history.mayCarry(named("a"), false)).isFalse();
        assertThat(history.mayCarry(named("c"), false)).isTrue();
        assertThatThrownBy(() -> history.begin(named("a"), false))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("a");
    }

    @Test
    void whatNoIdTellsApartIsAlone() {
        history.begin(named("a"), false);
        assertThat(history.mayCarry(new AnswerIdentity.Place(), false)).isFalse();
        assertThat(history.mayCarry(named("b"), true)).isFalse();
        ConnectionHistory unnamed = new ConnectionHistory();
        unnamed.begin(new AnswerIdentity.Place(), false);
        assertThat(unnamed.mayBeReused()).isFalse();
        ConnectionHistory head = new ConnectionHistory();
        head.begin(named("a"), true);
        assertThat(head.mayCarry(named("b"), false)).isFalse();
    }

    @Test
    void answerBelongsToTheRequestThatItNames() {
        history.begin(named("a"), false);
        assertThat(history.ownerOf(List.of("a"))).isEqualTo(Owner.CURRENT_REQUEST);
        assertThat(history.ownerOf(List.of("a", "a"))).isEqualTo(Owner.CURRENT_REQUEST);
        assertThat(history.ownerOf(List.of("b"))).isEqualTo(Owner.OTHER_REQUEST);
        assertThat(history.ownerOf(List.of("a", "b"))).isEqualTo(Owner.UNKNOWN);
        assertThat(history.ownerOf(List.of())).isEqualTo(Owner.UNKNOWN);
    }

    // An upstream that quotes status lines was not to lose each answer.
    @Test
    void statusLineWithinAHeadIsBelievedOnANewConnectionAlone() {
        history.begin(named("a"), false);
        assertThat(history.mayJoinAnswers(Stream.of("OK", "HTTP/1.1 proxy"))).isFalse();
        assertThat(history.mayBeReused()).isTrue();
        history.begin(named("b"), false);
        assertThat(history.mayJoinAnswers(Stream.of("OK", "cutHTTP/1.1 500 Error"))).isTrue();
        ConnectionHistory fresh = new ConnectionHistory();
        fresh.begin(named("a"), false);
        assertThat(fresh.mayJoinAnswers(Stream.of("OHTTP/1.0 200"))).isFalse();
        assertThat(fresh.mayBeReused()).isFalse();
    }

    @Test
    void answerThatNamesNoRequestIsBelievedOnANewConnectionAlone() {
        history.begin(new AnswerIdentity.EchoedIfAtAll("a"), false);
        assertThat(history.ownerOf(List.of())).isEqualTo(Owner.CURRENT_REQUEST);
        assertThat(history.mayBeReused()).isFalse();
        ConnectionHistory second = new ConnectionHistory();
        second.begin(new AnswerIdentity.EchoedIfAtAll("a"), false);
        assertThat(second.ownerOf(List.of("a"))).isEqualTo(Owner.CURRENT_REQUEST);
        second.begin(new AnswerIdentity.EchoedIfAtAll("b"), false);
        assertThat(second.ownerOf(List.of())).isEqualTo(Owner.UNKNOWN);
    }

    @Test
    void connectionIsReplacedBeforeItsHistoryGrowsLarge() {
        for (int request = 0; request < MAX_REQUESTS; request++) {
            assertThat(history.mayCarry(named("r" + request), false)).isTrue();
            history.begin(named("r" + request), false);
        }
        assertThat(history.mayBeReused()).isFalse();
        assertThat(history.mayCarry(named("last"), false)).isFalse();
    }

    private static AnswerIdentity named(String id) {
        return new AnswerIdentity.Echoed(id);
    }
}
