package io.stackhall.server.upstreams;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** The body of an answer, of which any failure to read is an {@link IOException}. */
final class AnswerInput extends FilterInputStream {

    AnswerInput(InputStream in) {
        super(in);
    }

    @Override
    public int read() throws IOException {
        try {
            return super.read();
        } catch (RuntimeException e) {
            throw unreadable(e);
        }
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        try {
            return super.read(bytes, offset, length);
        } catch (RuntimeException e) {
            throw unreadable(e);
        }
    }

    /** The HTTP client throws unchecked exceptions where an answer breaks the protocol. */
    private static IOException unreadable(RuntimeException e) {
        return new IOException("the answer cannot be read: " + e.getMessage(), e);
    }
}
