package io.stackhall.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Finding;
import io.stackhall.core.customer.Customers;
import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which route a request takes, and which errors the checker finds. */
class RouteTableTest {

    private static final ServiceName PLAIN = new ServiceName("plain");

    // A stream went on at a service that its route had been taken away from.
    @Test
    void serviceWithoutWeightGetsNoRequests() {
        ServiceName next = new ServiceName("next");
        Route moved =
                route("r", "/r/", List.of(new Route.Share(PLAIN, 0), new Route.Share(next, 100)));
        assertThat(moved.leadsTo(PLAIN)).isFalse();
        assertThat(moved.leadsTo(next)).isTrue();
        assertThat(moved.onlyService()).contains(next);
        Route shared =
                route("s", "/s/", List.of(new Route.Share(PLAIN, 1), new Route.Share(next, 1)));
        assertThat(shared.onlyService()).isEmpty();
    }

    // Streams were forgotten while their callers still waited.
    @Test
    void streamMayBeTakenUpForAsLongAsItsCallerWaits() {
        Route route = route("a", "/a/", 1);
        assertThat(route.maxStreamLife(Duration.ZERO)).isEqualTo(Duration.ofSeconds(2));
        assertThat(route.maxStreamLife(Duration.ofSeconds(20))).isEqualTo(Duration.ofSeconds(20));
        assertThat(route.maxStreamLife(Duration.ofDays(1))).isEqualTo(Duration.ofMinutes(2));
    }

    @Test
    void longestPrefixOfTheHostWins() {
        RouteTable table =
                table(route("all", "/", 1), route("a", "/a/", 1), route("ab", "/a/b/", 1));
        assertThat(findName(table, "a.example", "/a/b/c?q=/")).contains("ab");
        assertThat(findName(table, "A.Example:8080", "/a/x")).contains("a");
        assertThat(findName(table, "a.example", "/ab/")).contains("all");
        assertThat(findName(table, "b.example", "/a/")).isEmpty();
    }

    @Test
    void prefixEndsAtASlash() {
        RouteTable table = table(route("a", "/a/", 1));
        assertThat(findName(table, "a.example", "/a")).isEmpty();
        assertThat(findName(table, "a.example", "/a?x=/a/")).isEmpty();
        assertThat(findName(table, "a.example", "/a/")).contains("a");
    }

    @Test
    void splitSharesRequestsByWeight() {
        ServiceName other = new ServiceName("other");
        Route route =
                route("a", "/a/", List.of(new Route.Share(PLAIN, 90), new Route.Share(other, 10)));
        long others = 0;
        for (int ticket = 0; ticket < 1000; ticket++) {
            others += route.chooseService(ticket).equals(other) ? 1 : 0;
        }
        assertThat(others).isEqualTo(100);
    }

    @Test
    void checkerReportsAllFindings() {
        Route unknown = route("u", "/u/", List.of(new Route.Share(new ServiceName("nobody"), 1)));
        RouteTable table =
                table(route("a", "/a/", 1), route("b", "/a/", 1), route("w", "/w/", 0), unknown);
        assertThat(RouteTableChecker.check(table))
                .extracting(Finding::place)
                .containsExactly("route b", "route w", "route u");
    }

    private static Optional<String> findName(RouteTable table, String host, String target) {
        return table.find(host, target).map(Route::name);
    }

    private static RouteTable table(Route... routes) {
        ServiceEntry service = new ServiceEntry(PLAIN, "/health", 10, 0, Optional.empty());
        return new RouteTable(
                1,
                List.of(routes),
                List.of(service),
                CallerLimits.initial(),
                Customers.unrestricted());
    }

    private static Route route(String name, String prefix, int weight) {
        return route(name, prefix, List.of(new Route.Share(PLAIN, weight)));
    }

    private static Route route(String name, String prefix, List<Route.Share> split) {
        return new Route(
                name,
                "a.example",
                prefix,
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                1,
                split,
                1,
                false,
                Duration.ZERO,
                Duration.ofSeconds(1),
                false);
    }
}
