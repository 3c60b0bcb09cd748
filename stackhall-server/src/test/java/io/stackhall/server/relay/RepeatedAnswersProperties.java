package io.stackhall.server.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.core.answer.BodyFraming;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Copies of earlier answers, whole or cut at any byte, never pass for the answer that is due, nor
 * change it, wherever they come on a connection.
 */
class RepeatedAnswersProperties {

    private static final MultiThreadIoEventLoopGroup THREADS =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private static final int PATIENCE_SECONDS = 5;
    private static final String LAST = "\r\n0\r\n\r\n";
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

    /** Where on its connection a copy comes. */
    enum Place {
        /** Between the request and its answer. */
        BEFORE_ANSWER,
        /** At rest; the client sends the next request before it reads the copy. */
        UNREAD,
        /** At rest; the client reads it before it sends the next request. */
        AT_REST,
        /** In one write with the end of the answer. */
        WITH_END,
        /** Right behind the answer, in a write of its own. */
        BEHIND
    }

    /** How an answer tells its length. */
    enum Shape {
        LENGTH,
        CHUNKED,
        NO_CONTENT,
        NOT_MODIFIED;

        boolean hasBody() {
            return this == LENGTH || this == CHUNKED;
        }
    }

    /**
     * A copy of an earlier answer.
     *
     * @param late how many answers its original lies back, 0 for the last one
     * @param cut after which byte it ends, modulo its length; 0 for a whole one
     */
    record Copy(Place place, int late, int cut) {}

    /** The answer to one attempt; echoes its id first or last of its headers. */
    record Answer(Shape shape, int status, boolean interim, boolean echoFirst, int split) {

        int sentStatus() {
            return switch (shape) {
                case LENGTH, CHUNKED -> status;
                case NO_CONTENT -> 204;
                case NOT_MODIFIED -> 304;
            };
        }
    }

    /** One request, and what its upstream sends for it and beside it. */
    record Attempt(
            AnswerIdentity identity,
            boolean echoes,
            HttpMethod method,
            Answer answer,
            List<Copy> copies) {

        /** Returns the id that the answer echoes. */
        Optional<String> echo() {
            return switch (identity) {
                case AnswerIdentity.Echoed(String id) -> Optional.of(id);
                case AnswerIdentity.EchoedIfAtAll(String id) ->
                        Optional.of(id).filter(drawn -> echoes);
                case AnswerIdentity.Place() -> Optional.empty();
            };
        }

        /** Returns whether the answer can be told apart on any connection that carries it. */
        boolean isToldApart() {
            return echo().isPresent() || identity instanceof AnswerIdentity.Place;
        }

        boolean hasBody() {
            return answer.shape().hasBody() && !method.equals(HttpMethod.HEAD);
        }
    }

    @AfterContainer
    static void stop() {
        THREADS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Property(tries = 400)
    void eachAnswerThatIsHandedOnIsThatOfItsAttempt(@ForAll("attempts") List<Attempt> attempts)
            throws Exception {
        try (ScriptedConnections connections = new ScriptedConnections(THREADS.next())) {
            String unread = "";
            for (int run = 0; run < attempts.size(); run++) {
                unread = play(connections, attempts.get(run), run, unread);
            }
        }
    }

    // A copy that was cut within its head lent its status to the answer that followed.
    @Example
    void statusOfACopyCutInItsHeadIsNotTakenForThatOfTheAnswerThatIsDue() throws Exception {
        AnswerIdentity first = new AnswerIdentity.Echoed("a");
        AnswerIdentity second = new AnswerIdentity.Echoed("b");
        for (boolean echoFirst : List.of(true, false)) {
            Answer failure = new Answer(Shape.CHUNKED, 500, false, echoFirst, 0);
            Answer success = new Answer(Shape.LENGTH, 200, false, echoFirst, 0);
            Attempt copied = new Attempt(first, true, HttpMethod.GET, failure, List.of());
            for (int cut = 1; cut < bytes(copied, 0).length(); cut++) {
                List<Copy> copies = List.of(new Copy(Place.BEFORE_ANSWER, 0, cut));
                Attempt due = new Attempt(second, true, HttpMethod.GET, success, copies);
                eachAnswerThatIsHandedOnIsThatOfItsAttempt(List.of(copied, due));
            }
        }
    }

    /** Plays an attempt, and returns what comes before the client reads on. */
    private static String play(
            ScriptedConnections connections, Attempt attempt, int run, String unread)
            throws Exception {
        Heard heard = new Heard(attempt, run);
        ScriptedConnections.Connection connection =
                connections.send(attempt.method(), attempt.identity(), heard, unread);
        String answer = bytes(attempt, run);
        String all = copies(attempt, Place.BEFORE_ANSWER, connection) + answer;
        boolean mustComplete = connection.uncut() && attempt.isToldApart();
        connection.addSent(answer);
        all += copies(attempt, Place.WITH_END, connection);
        int split = attempt.answer().split() % all.length();
        connection.write(all.substring(0, split));
        connections.settle();
        connection.write(all.substring(split));
        connection.write(copies(attempt, Place.BEHIND, connection));
        connections.settle();
        if (!mustComplete && !heard.ended.isDone()) {
            connection.end();
        }
        heard.check(mustComplete);
        connection.write(copies(attempt, Place.AT_REST, connection));
        connections.settle();
        return copies(attempt, Place.UNREAD, connection);
    }

    private static String copies(
            Attempt attempt, Place place, ScriptedConnections.Connection connection) {
        return attempt.copies().stream()
                .filter(copy -> copy.place() == place)
                .map(copy -> connection.copy(copy.late(), copy.cut()))
                .collect(Collectors.joining());
    }

    private static String bytes(Attempt attempt, int run) {
        Answer answer = attempt.answer();
        String number = "X-Run: " + run + "\r\n";
        String echo = attempt.echo().map(id -> "X-Id: " + id + "\r\n").orElse("");
        String body = "run " + run;
        boolean chunked = answer.shape() == Shape.CHUNKED;
        String sent = chunked ? Integer.toHexString(body.length()) + "\r\n" + body + LAST : body;
        String length = "Content-Length: " + body.length();
        return (answer.interim() ? INTERIM : "")
                + ("HTTP/1.1 " + answer.sentStatus() + " As drawn\r\n")
                + (answer.echoFirst() ? echo + number : number + echo)
                + (chunked ? "Transfer-Encoding: chunked" : length)
                + "\r\n\r\n"
                + (attempt.hasBody() ? sent : "");
    }

    /** Holds what is handed on of an answer against what its attempt was answered. */
    private static final class Heard implements CallListener {

        private final Attempt attempt;
        private final String run;
        private final List<HttpResponse> heads = new ArrayList<>();
        private final StringBuilder body = new StringBuilder();
        private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

        Heard(Attempt attempt, int run) {
            this.attempt = attempt;
            this.run = Integer.toString(run);
        }

        /** Waits for the end of the call. A part of an answer may have been handed on already. */
        void check(boolean mustComplete) throws Exception {
            boolean completed = ended.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
            String whole = attempt.hasBody() ? "run " + run : "";
            assertThat(heads).hasSizeBetween(completed ? 1 : 0, 1);
            for (HttpResponse head : heads) {
                assertThat(head.status().code()).isEqualTo(attempt.answer().sentStatus());
                assertThat(head.headers().getAll("X-Run")).containsExactly(run);
            }
            assertThat(whole).startsWith(body);
            assertThat(body.length()).isEqualTo(completed ? whole.length() : body.length());
            assertThat(completed).isIn(true, mustComplete);
        }

        @Override
        public boolean sending() {
            return true;
        }

        @Override
        public void answered(HttpResponse head) {
            heads.add(head);
        }

        @Override
        public void received(ByteBuf part) {
            body.append(part.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void completed(BodyFraming framing) {
            ended.complete(true);
        }

        @Override
        public void failed(CallFailure failure) {
            ended.complete(false);
        }
    }

    @Provide
    Arbitrary<List<Attempt>> attempts() {
        Arbitrary<String> ids = Arbitraries.of("a", "b", "c", "d", "e", "f", "g");
        Arbitrary<AnswerIdentity> identities =
                Arbitraries.frequencyOf(
                        Tuple.of(8, ids.map(AnswerIdentity.Echoed::new)),
                        Tuple.of(2, ids.map(id -> new AnswerIdentity.EchoedIfAtAll("own-" + id))),
                        Tuple.of(1, Arbitraries.create(AnswerIdentity.Place::new)));
        Arbitrary<HttpMethod> methods =
                Arbitraries.frequency(
                        Tuple.of(4, HttpMethod.GET),
                        Tuple.of(4, HttpMethod.POST),
                        Tuple.of(1, HttpMethod.HEAD));
        return Combinators.combine(
                        identities, Arbitraries.of(true, false), methods, answers(), copies())
                .as(Attempt::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(16);
    }

    private static Arbitrary<Answer> answers() {
        Arbitrary<Shape> shapes =
                Arbitraries.frequency(
                        Tuple.of(4, Shape.LENGTH),
                        Tuple.of(4, Shape.CHUNKED),
                        Tuple.of(1, Shape.NO_CONTENT),
                        Tuple.of(1, Shape.NOT_MODIFIED));
        return Combinators.combine(
                        shapes,
                        Arbitraries.of(200, 500, 503),
                        Arbitraries.frequency(Tuple.of(1, true), Tuple.of(4, false)),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 300))
                .as(Answer::new);
    }

    private static Arbitrary<List<Copy>> copies() {
        Arbitrary<Integer> cuts =
                Arbitraries.frequencyOf(
                        Tuple.of(4, Arbitraries.just(0)),
                        Tuple.of(1, Arbitraries.integers().between(1, 200)));
        Arbitrary<Place> places =
                Arbitraries.frequency(
                        Tuple.of(4, Place.BEFORE_ANSWER),
                        Tuple.of(2, Place.UNREAD),
                        Tuple.of(1, Place.AT_REST),
                        Tuple.of(1, Place.WITH_END),
                        Tuple.of(1, Place.BEHIND));
        return Combinators.combine(places, Arbitraries.integers().between(0, 12), cuts)
                .as(Copy::new)
                .list()
                .ofMaxSize(3);
    }
}
