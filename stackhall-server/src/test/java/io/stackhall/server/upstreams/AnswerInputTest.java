package io.stackhall.server.upstreams;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import org.eclipse.jetty.client.HttpResponseException;
import org.junit.jupiter.api.Test;

/** A body that ends where the protocol does not allow it. */
class AnswerInputTest {

    // The thread that served the request ended, and nothing was recorded of its outcome.
    @Test
    void failureToReadABrokenBodyIsUnchecked() {
        InputStream broken =
                new InputStream() {
                    @Override
                    public int read() {
                        throw new HttpResponseException("early end", null);
                    }

                    @Override
                    public int read(byte[] bytes, int offset, int length) {
                        return read();
                    }
                };
        assertThatThrownBy(() -> new AnswerInput(broken).readNBytes(1))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("early end");
        assertThatThrownBy(() -> new AnswerInput(broken).read()).isInstanceOf(IOException.class);
    }
}
