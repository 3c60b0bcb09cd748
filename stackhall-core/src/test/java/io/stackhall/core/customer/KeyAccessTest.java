package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.customer.KeyAccess.Verdict;
import io.stackhall.core.id.CustomerId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which customer a request is attributed to. */
class KeyAccessTest {

    private static final KeyDigest GOOD = KeyDigest.of("good");
    private static final KeyDigest OTHER = KeyDigest.of("other");
    private static final Customer NORTH =
            new Customer(
                    new CustomerId("north"), Set.of(GOOD), OptionalInt.of(2), Optional.empty());
    private static final Customers CUSTOMERS = new Customers(List.of(NORTH));

    @Test
    void configurationWithoutCustomersRequiresNoKey() {
        assertThat(KeyAccess.authenticate(Customers.unrestricted(), false, List.of(), false))
                .isEqualTo(new Verdict.Anyone());
    }

    @Test
    void emptyListOfCustomersAdmitsNoKey() {
        assertThat(KeyAccess.authenticate(new Customers(List.of()), false, List.of(GOOD), true))
                .isInstanceOf(Verdict.Unknown.class);
    }

    @Test
    void knownKeyIdentifiesItsCustomer() {
        assertThat(KeyAccess.authenticate(CUSTOMERS, false, List.of(GOOD), true))
                .isEqualTo(new Verdict.Of(NORTH));
    }

    @Test
    void missingUnknownAndSeveralKeysAreRefused() {
        assertThat(KeyAccess.authenticate(CUSTOMERS, false, List.of(), true))
                .isInstanceOf(Verdict.Unknown.class);
        assertThat(KeyAccess.authenticate(CUSTOMERS, false, List.of(OTHER), true))
                .isInstanceOf(Verdict.Unknown.class);
        assertThat(KeyAccess.authenticate(CUSTOMERS, false, List.of(GOOD, OTHER), true))
                .isInstanceOf(Verdict.Unknown.class);
    }

    @Test
    void everyKeyIsUncertainWithoutAValidLease() {
        assertThat(KeyAccess.authenticate(CUSTOMERS, false, List.of(GOOD), false))
                .isEqualTo(new Verdict.Uncertain());
        assertThat(KeyAccess.authenticate(CUSTOMERS, false, List.of(OTHER), false))
                .isEqualTo(new Verdict.Uncertain());
    }

    @Test
    void openRouteRequiresNoKey() {
        assertThat(KeyAccess.authenticate(CUSTOMERS, true, List.of(), true))
                .isEqualTo(new Verdict.Anyone());
        assertThat(KeyAccess.authenticate(CUSTOMERS, true, List.of(OTHER), false))
                .isEqualTo(new Verdict.Anyone());
        assertThat(KeyAccess.authenticate(CUSTOMERS, true, List.of(GOOD), true))
                .isEqualTo(new Verdict.Of(NORTH));
    }

    @Test
    void customersRankPrecedesTheRoutesRank() {
        assertThat(NORTH.combinedRank(0)).isLessThan(NORTH.combinedRank(1));
        assertThat(NORTH.combinedRank(0))
                .isGreaterThan(
                        new Customer(
                                        new CustomerId("south"),
                                        Set.of(),
                                        OptionalInt.of(1),
                                        Optional.empty())
                                .combinedRank(7));
    }

    @Test
    void textFormDoesNotRevealTheKey() {
        assertThat(GOOD.toString()).doesNotContain("good");
        assertThat(NORTH.toString()).doesNotContain("good");
    }
}
