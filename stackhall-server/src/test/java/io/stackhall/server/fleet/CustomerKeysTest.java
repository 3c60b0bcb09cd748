package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Keys of customers, from callers to upstreams. Requests without a key, or with one that nobody
 * holds, were run; a good key was passed on to the upstream that ran the request; and a customer's
 * limit was kept by nobody.
 */
class CustomerKeysTest extends RelayFixture {

    private static final String NORTH_KEY = "north-key-4711";
    private static final String SOUTH_KEY = "south-key-0815";

    @Test
    void requestRunsForTheHolderOfItsKeyAndTheKeyGoesNoFurther() throws Exception {
        put(4, customer("north", NORTH_KEY, ""), customer("south", SOUTH_KEY, ""));
        try (ScriptedUpstream upstream = upstream((request, to) -> to.plain(request, 200, "ok"))) {
            RawHttp.Message answer =
                    fleet.call(
                            1,
                            RawHttp.get(
                                    "/safe/x",
                                    "r1",
                                    "X-Deadline-Ms: 3000",
                                    "X-Tenant: south",
                                    "aUTHORIZATION: Token " + NORTH_KEY));
            assertThat(answer.status()).isEqualTo(200);
            RawHttp.Message seen = upstream.requests().getFirst();
            assertThat(seen.header("x-tenant")).isEqualTo("north");
            assertThat(seen.header("authorization")).isEmpty();
            assertThat(seen.toString()).doesNotContain(NORTH_KEY);
        }
    }

    @Test
    void requestWithoutAKnownKeyIsRefusedAndDoesNotRun() throws Exception {
        put(4, customer("north", NORTH_KEY, ""));
        try (ScriptedUpstream upstream = upstream((request, to) -> to.plain(request, 200, "ok"))) {
            assertThat(call("r1", "X-Odd: 1").status()).isEqualTo(401);
            assertThat(call("r2", "Authorization: Token unknown").status()).isEqualTo(401);
            assertThat(call("r3", "Authorization: " + NORTH_KEY).status()).isEqualTo(401);
            assertThat(call("r4", "Authorization: Token " + NORTH_KEY + "x").status())
                    .isEqualTo(401);
            assertThat(upstream.requests()).isEmpty();
        }
    }

    @Test
    void openRouteNeedsNoKey() throws Exception {
        put(4, customer("north", NORTH_KEY, ""));
        try (ScriptedUpstream upstream = upstream((request, to) -> to.plain(request, 200, "ok"))) {
            assertThat(fleet.call(1, get("/open/x", "r1")).status()).isEqualTo(200);
            assertThat(upstream.requests().getFirst().header("x-tenant")).isEmpty();
        }
    }

    @Test
    void keyThatIsTakenAwayNoLongerCounts() throws Exception {
        put(4, customer("north", NORTH_KEY, ""));
        try (ScriptedUpstream upstream = upstream((request, to) -> to.plain(request, 200, "ok"))) {
            assertThat(call("r1", "Authorization: Token " + NORTH_KEY).status()).isEqualTo(200);
            put(5, customer("north", "another", ""));
            LocalFleet.await("key gone", () -> status("r2", NORTH_KEY) == 401);
            assertThat(status("r3", "another")).isEqualTo(200);
            assertThat(upstream.requests()).isNotEmpty();
        }
    }

    @Test
    void keyOfTwoCustomersIsRefusedWithoutNamingTheKey() throws Exception {
        String shared =
                configuration(
                        4, customer("north", NORTH_KEY, ""), customer("south", NORTH_KEY, ""));
        RawHttp.Message answer = fleet.control(1, "POST", "/-/config/put", shared);
        assertThat(answer.status()).isBetween(400, 499);
        assertThat(answer.text()).contains("north", "south").doesNotContain(NORTH_KEY);
    }

    @Test
    void customerBeyondItsLimitIsToldWhenToComeBack() throws Exception {
        put(
                4,
                customer("north", NORTH_KEY, ",\"rate-per-s\":2,\"burst\":2"),
                customer("south", SOUTH_KEY, ""));
        try (ScriptedUpstream upstream = upstream((request, to) -> to.plain(request, 200, "ok"))) {
            LocalFleet.await("an allowance", () -> status("first", NORTH_KEY) == 200);
            List<RawHttp.Message> refused = new ArrayList<>();
            for (int number = 0; number < 12; number++) {
                RawHttp.Message answer = call("r" + number, "Authorization: Token " + NORTH_KEY);
                if (answer.status() != 200) {
                    refused.add(answer);
                }
                assertThat(status("s" + number, SOUTH_KEY)).isEqualTo(200);
            }
            assertThat(refused).hasSizeGreaterThanOrEqualTo(6);
            assertThat(refused)
                    .allSatisfy(answer -> assertThat(answer.status()).isEqualTo(429))
                    .allSatisfy(
                            answer ->
                                    assertThat(Double.parseDouble(answer.header("retry-after")))
                                            .isPositive());
        }
    }

    private int status(String id, String key) {
        try {
            return call(id, "Authorization: Token " + key).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private RawHttp.Message call(String id, String header) throws IOException {
        return fleet.call(1, RawHttp.get("/safe/x", id, "X-Deadline-Ms: 3000", header));
    }

    private void put(int version, String... customers) {
        assertThat(put(configuration(version, customers))).isEqualTo(200);
        pause(200);
    }

    private static String customer(String name, String key, String more) {
        return "{\"name\":\"" + name + "\",\"api-keys\":[\"" + key + "\"]" + more + "}";
    }

    private static String configuration(int version, String... customers) {
        return """
        {"version":%d,"routes":[
         {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
          "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
          "max-attempts":2,"public":false},
         {"name":"open","host":"a.example","path-prefix":"/open/","kind":"safe",
          "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
          "max-attempts":2,"public":true}],
         "services":[{"name":"plain","health-path":"/health","max-connections":50}],
         "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
          "header-timeout-ms":1000,"idle-timeout-ms":5000},
         "tenants":[%s]}
        """
                .formatted(version, String.join(",", customers));
    }
}
