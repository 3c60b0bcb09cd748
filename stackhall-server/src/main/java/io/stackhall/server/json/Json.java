package io.stackhall.server.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes and reads the core's records as JSON: ids as plain strings, sealed interfaces with a
 * {@code type} property. Equal records give equal bytes.
 */
public final class Json {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .annotationIntrospector(new SealedTypes())
                    .addModule(new Jdk8Module())
                    .addModule(IdModule.create())
                    .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private Json() {}

    /** Returns the mapper, for reading trees. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Writes a value.
     *
     * @param type the declared type, which decides whether a {@code type} property is written
     */
    public static <T> byte[] write(Class<T> type, T value) {
        try {
            return MAPPER.writerFor(type).writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written: " + value, e);
        }
    }

    /**
     * Reads a value that this process or a peer has written.
     *
     * @throws UncheckedIOException if the bytes are no such value
     */
    public static <T> T read(Class<T> type, byte[] bytes) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new IOException("null is no " + type.getSimpleName());
            }
            return value;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
