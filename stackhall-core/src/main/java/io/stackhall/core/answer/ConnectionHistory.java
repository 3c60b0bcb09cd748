package io.stackhall.core.answer;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The requests that one connection to an upstream has carried. Decides which further requests it
 * may carry, and which of the answers on it belongs to the current one.
 *
 * <p>Load pattern: an upstream sends answers a second time, in the place of a later one, and any
 * number of answers later. Meanwhile callers come again with the ids of earlier tries, and hosts
 * send a request once more. An id therefore stands for an attempt only on a connection that has not
 * carried it before. What no id tells apart goes on a connection of its own, and so does a request
 * whose answer has no body in spite of its head: the length of a body is read by what was asked.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class ConnectionHistory {

    /** Bounds the memory that a connection takes; the cost is a new connection after as many. */
    private static final int MAX_REQUESTS = 512;

    private static final int INITIAL_CAPACITY = 4;

    /** Hashes of the ids carried. Two ids of the same hash cost a new connection, and no more. */
    private int[] carried = new int[INITIAL_CAPACITY];

    private int requests;
    private boolean reusable = true;
    private AnswerIdentity current = new AnswerIdentity.Place();

    /** To whom an answer belongs. */
    public enum Owner {
        /** To the current request. */
        CURRENT_REQUEST,
        /** To another request: it is passed over, and the answer that is due follows. */
        OTHER_REQUEST,
        /** To none that can be told: nothing more may be believed on the connection. */
        UNKNOWN
    }

    /**
     * Returns whether the answer to a request can be told apart from all that may still come on
     * this connection.
     *
     * @param head whether it is a HEAD request
     */
    public boolean mayCarry(AnswerIdentity next, boolean head) {
        if (requests == 0) {
            return true;
        }
        Optional<String> id = id(next);
        return mayBeReused() && !head && id.isPresent() && !hasCarried(id.get());
    }

    /**
     * Records that a request is sent.
     *
     * @param head whether it is a HEAD request
     */
    public void begin(AnswerIdentity next, boolean head) {
        if (!mayCarry(next, head)) {
            throw new IllegalStateException("its answer could not be told apart: " + next);
        }
        current = next;
        Optional<String> id = id(next);
        reusable = !head && id.isPresent();
        id.ifPresent(this::addCarried);
        requests++;
    }

    /**
     * Returns to whom a final answer belongs that has come while a request is under way.
     *
     * @param echoes the ids that the answer names
     */
    public Owner ownerOf(List<String> echoes) {
        if (echoes.stream().distinct().count() > 1) {
            return Owner.UNKNOWN;
        }
        Optional<String> echo = echoes.stream().findFirst();
        return switch (current) {
            case AnswerIdentity.Place() -> Owner.CURRENT_REQUEST;
            case AnswerIdentity.Echoed(String id) ->
                    echo.map(named -> ownerByEcho(named, id)).orElse(Owner.UNKNOWN);
            case AnswerIdentity.EchoedIfAtAll(String id) ->
                    echo.map(named -> ownerByEcho(named, id)).orElseGet(this::ownerByPlace);
        };
    }

    /**
     * Returns whether a head that has come may hold parts of two answers: a copy that is cut within
     * its reason phrase or the value of a header runs on into the status line of the answer that is
     * due, and lends it its status. On a new connection there is nothing to copy, and the upstream
     * itself quotes a status line; the connection is not used again then.
     *
     * @param texts the reason phrase, and the values of the headers
     */
    public boolean mayJoinAnswers(Stream<String> texts) {
        if (texts.noneMatch(StatusLine::isWithin)) {
            return false;
        }
        reusable = false;
        return requests > 1;
    }

    /** Returns whether the connection may carry further requests at all. */
    public boolean mayBeReused() {
        return reusable && requests < MAX_REQUESTS;
    }

    /** Returns how many requests the connection has carried, the current one included. */
    public int requests() {
        return requests;
    }

    private static Owner ownerByEcho(String echo, String id) {
        return echo.equals(id) ? Owner.CURRENT_REQUEST : Owner.OTHER_REQUEST;
    }

    /** On a new connection, no other answer can be due. */
    private Owner ownerByPlace() {
        reusable = false;
        return requests == 1 ? Owner.CURRENT_REQUEST : Owner.UNKNOWN;
    }

    private static Optional<String> id(AnswerIdentity identity) {
        return switch (identity) {
            case AnswerIdentity.Echoed(String id) -> Optional.of(id);
            case AnswerIdentity.EchoedIfAtAll(String id) -> Optional.of(id);
            case AnswerIdentity.Place() -> Optional.empty();
        };
    }

    private boolean hasCarried(String id) {
        int hash = id.hashCode();
        return Arrays.stream(carried, 0, requests).anyMatch(one -> one == hash);
    }

    private void addCarried(String id) {
        if (requests == carried.length) {
            carried = Arrays.copyOf(carried, 2 * requests);
        }
        carried[requests] = id.hashCode();
    }
}
