package io.stackhall.tests.harness;

import java.net.http.HttpHeaders;

/**
 * An HTTP answer.
 *
 * @param status the status
 * @param headers the headers
 * @param body the body as text
 */
public record Reply(int status, HttpHeaders headers, String body) {

    /** Returns a header, or an empty text. */
    public String header(String name) {
        return headers.firstValue(name).orElse("");
    }
}
