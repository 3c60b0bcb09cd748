package io.stackhall.core.customer;

/**
 * What an entry host tells a leader of the last answer that it received, which proves that the host
 * was not cut off when that answer was sent.
 *
 * @param leadership the random id of the leadership that sent the answer, 0 if the host has
 *     received none
 * @param askedAt when that leader received what it answered, in nanoseconds of its own clock
 * @param entryHosts the number of entry hosts that the answer reported
 */
public record AnswerReceipt(long leadership, long askedAt, int entryHosts) {

    /** The receipt of a host that has received no answer. */
    public static final AnswerReceipt NONE = new AnswerReceipt(0, 0, 0);
}
