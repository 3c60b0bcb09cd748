package io.stackhall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Which requests have the same digest. */
class RequestDigestTest {

    private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);

    @Test
    void digestIgnoresTheCaseOfTheHostName() {
        assertThat(RequestDigest.of("POST", "A.Example", "/a", BODY))
                .isEqualTo(RequestDigest.of("POST", "a.example", "/a", BODY));
    }

    @Test
    void digestCoversMethodAuthorityTargetAndBody() {
        RequestDigest digest = RequestDigest.of("POST", "a.example", "/a", BODY);
        assertThat(RequestDigest.of("PUT", "a.example", "/a", BODY)).isNotEqualTo(digest);
        assertThat(RequestDigest.of("POST", "b.example", "/a", BODY)).isNotEqualTo(digest);
        assertThat(RequestDigest.of("POST", "a.example", "/b", BODY)).isNotEqualTo(digest);
        assertThat(RequestDigest.of("POST", "a.example", "/a", new byte[0])).isNotEqualTo(digest);
        assertThat(RequestDigest.of("POST", "a.example/", "a", BODY)).isNotEqualTo(digest);
    }

    @Test
    void rejectsTextThatIsNoDigest() {
        assertThatThrownBy(() -> new RequestDigest("xyz"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("xyz");
    }
}
