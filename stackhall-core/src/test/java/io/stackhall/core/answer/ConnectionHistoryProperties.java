package io.stackhall.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.answer.ConnectionHistory.Owner;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Copies of earlier answers, late by any number of answers, never pass for the one that is due. */
class ConnectionHistoryProperties {

    /** What an upstream sends for one request: its answer, and before it copies of earlier ones. */
    record Exchange(AnswerIdentity identity, boolean head, boolean echoes, List<Integer> copies) {}

    /** An answer on the wire. */
    record Sent(int exchange, List<String> echoes, boolean body) {}

    @Property
    void onlyTheAnswerThatIsDueIsTheCurrentRequests(@ForAll("exchanges") List<Exchange> exchanges) {
        ConnectionHistory history = new ConnectionHistory();
        List<Sent> sent = new ArrayList<>();
        for (Exchange next : exchanges) {
            if (!history.mayCarry(next.identity(), next.head())) {
                history = new ConnectionHistory();
                sent.clear();
            }
            history.begin(next.identity(), next.head());
            Sent answer = new Sent(sent.size(), echoes(next), !next.head());
            if (!takes(history, next, sent, answer)) {
                history = new ConnectionHistory();
                sent.clear();
            } else {
                sent.add(answer);
            }
        }
    }

    /** Returns whether the connection is still in order once the answer that is due has come. */
    private static boolean takes(
            ConnectionHistory history, Exchange next, List<Sent> before, Sent answer) {
        for (int copy : next.copies()) {
            if (copy < before.size()) {
                Owner owner = history.ownerOf(before.get(copy).echoes());
                assertThat(owner).isNotEqualTo(Owner.CURRENT_REQUEST);
                assertThat(before.get(copy).body()).isEqualTo(!next.head());
                if (owner == Owner.UNKNOWN) {
                    return false;
                }
            }
        }
        return history.ownerOf(answer.echoes()) == Owner.CURRENT_REQUEST && history.mayBeReused();
    }

    private static List<String> echoes(Exchange exchange) {
        return switch (exchange.identity()) {
            case AnswerIdentity.Echoed(String id) -> List.of(id);
            case AnswerIdentity.EchoedIfAtAll(String id) ->
                    exchange.echoes() ? List.of(id) : List.of();
            case AnswerIdentity.Place() -> List.of();
        };
    }

    @Provide
    Arbitrary<List<Exchange>> exchanges() {
        Arbitrary<String> ids = Arbitraries.of("a", "b", "c", "d", "e");
        Arbitrary<AnswerIdentity> identities =
                Arbitraries.oneOf(
                        ids.map(AnswerIdentity.Echoed::new),
                        ids.map(id -> new AnswerIdentity.EchoedIfAtAll("own-" + id)),
                        Arbitraries.just(new AnswerIdentity.Place()));
        Arbitrary<Boolean> rarely =
                Arbitraries.frequencyOf(
                        Tuple.of(1, Arbitraries.just(true)), Tuple.of(9, Arbitraries.just(false)));
        return Combinators.combine(
                        identities,
                        rarely,
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 20).list().ofMaxSize(3))
                .as(Exchange::new)
                .list()
                .ofMaxSize(40);
    }
}
