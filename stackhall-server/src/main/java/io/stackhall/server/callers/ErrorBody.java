package io.stackhall.server.callers;

import io.stackhall.server.json.Json;

/**
 * An error body in the format of the OpenAI API.
 *
 * @param error the description of the error
 */
record ErrorBody(Detail error) {

    /** The description of an error; {@code outcome} tells whether the request has run. */
    record Detail(String message, String type, String code, String outcome) {}

    static byte[] of(String type, String code, String message, String outcome) {
        return Json.write(ErrorBody.class, new ErrorBody(new Detail(message, type, code, outcome)));
    }
}
