package io.stackhall.core.answer;

import java.util.Optional;

/**
 * Checks the head of an answer byte by byte against the grammar of HTTP/1.1 (RFC 9112, sections 4
 * and 5).
 *
 * <p>Load pattern: an upstream in trouble spoils the heads of some answers. A tolerant decoder
 * drops what it cannot read, and finds a status, a length or a coding that the upstream has not
 * sent; the caller gets a body that is cut by it.
 *
 * <p>Line ends before the head are passed over, and a line that begins with a blank goes on with
 * the field before it. Not thread-safe.
 */
public final class HeadSyntax {

    /**
     * How a status line begins: {@code d} stands for a digit, {@code c} for a class of statuses.
     */
    private static final String STATUS_LINE_FORM = "HTTP/1.d cdd";

    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int TAB = '\t';
    private static final int LINE_FEED = '\n';
    private static final int CARRIAGE_RETURN = '\r';
    private static final int SPACE = ' ';
    private static final int DELETE = 0x7f;
    private static final int OCTET_MASK = 0xff;

    private State state = State.BEFORE_HEAD;
    private int statusLineLength;
    private boolean returned;
    private boolean fieldSeen;
    private Optional<String> fault = Optional.empty();

    private enum State {
        BEFORE_HEAD,
        STATUS_LINE,
        REASON,
        FIELD_START,
        FIELD_NAME,
        FIELD_VALUE,
        MALFORMED
    }

    /**
     * Takes the next byte. Returns whether the bytes so far may be a part of a well-formed head.
     */
    public boolean accept(byte next) {
        int octet = next & OCTET_MASK;
        State before = state;
        state = returned && octet != LINE_FEED ? State.MALFORMED : after(octet);
        returned = octet == CARRIAGE_RETURN;
        if (state == State.MALFORMED && before != State.MALFORMED) {
            fault = Optional.of(describe(before));
        }
        return state != State.MALFORMED;
    }

    /**
     * Returns, for logs, what is malformed in the bytes so far; nothing if they are well-formed.
     */
    public Optional<String> fault() {
        return fault;
    }

    /** Expects the next head from now on. */
    public void reset() {
        state = State.BEFORE_HEAD;
        statusLineLength = 0;
        returned = false;
        fieldSeen = false;
        fault = Optional.empty();
    }

    private State after(int octet) {
        return switch (state) {
            case BEFORE_HEAD -> isLineEnd(octet) ? State.BEFORE_HEAD : afterStatusLine(octet);
            case STATUS_LINE -> afterStatusLine(octet);
            case REASON, FIELD_VALUE -> afterText(octet);
            case FIELD_START -> afterFieldStart(octet);
            case FIELD_NAME -> afterFieldName(octet);
            case MALFORMED -> State.MALFORMED;
        };
    }

    private State afterStatusLine(int octet) {
        if (statusLineLength < STATUS_LINE_FORM.length()) {
            char form = STATUS_LINE_FORM.charAt(statusLineLength);
            statusLineLength++;
            return fits(form, octet) ? State.STATUS_LINE : State.MALFORMED;
        }
        return switch (octet) {
            case SPACE -> State.REASON;
            case CARRIAGE_RETURN -> State.STATUS_LINE;
            case LINE_FEED -> State.FIELD_START;
            default -> State.MALFORMED;
        };
    }

    private static boolean fits(char form, int octet) {
        return switch (form) {
            case 'd' -> isBetween('0', octet, '9');
            case 'c' -> isBetween('1', octet, '5');
            default -> octet == form;
        };
    }

    private State afterText(int octet) {
        if (octet == LINE_FEED) {
            return State.FIELD_START;
        }
        boolean control = octet < SPACE && octet != TAB && octet != CARRIAGE_RETURN;
        return control || octet == DELETE ? State.MALFORMED : state;
    }

    private State afterFieldStart(int octet) {
        if (isLineEnd(octet)) {
            return State.FIELD_START;
        }
        if (octet == SPACE || octet == TAB) {
            return fieldSeen ? State.FIELD_VALUE : State.MALFORMED;
        }
        fieldSeen = true;
        return isTokenCharacter(octet) ? State.FIELD_NAME : State.MALFORMED;
    }

    private static State afterFieldName(int octet) {
        if (octet == ':') {
            return State.FIELD_VALUE;
        }
        return isTokenCharacter(octet) ? State.FIELD_NAME : State.MALFORMED;
    }

    private static String describe(State at) {
        return switch (at) {
            case BEFORE_HEAD, STATUS_LINE, REASON -> "malformed status line";
            case FIELD_START, FIELD_NAME -> "malformed field name";
            case FIELD_VALUE, MALFORMED -> "malformed field value";
        };
    }

    private static boolean isLineEnd(int octet) {
        return octet == CARRIAGE_RETURN || octet == LINE_FEED;
    }

    private static boolean isTokenCharacter(int octet) {
        return isBetween('a', octet, 'z')
                || isBetween('A', octet, 'Z')
                || isBetween('0', octet, '9')
                || TOKEN_SYMBOLS.indexOf(octet) >= 0;
    }

    private static boolean isBetween(char first, int octet, char last) {
        return octet >= first && octet <= last;
    }
}
