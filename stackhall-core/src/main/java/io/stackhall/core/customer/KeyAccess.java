package io.stackhall.core.customer;

import java.util.List;

/** Judges whose request one is by the key that it carries. */
public final class KeyAccess {

    private KeyAccess() {}

    /** Whose request one is. */
    public sealed interface Verdict {

        /** Nobody's in particular: it needs no key. */
        record Anyone() implements Verdict {}

        /** A customer's. */
        record Of(Customer customer) implements Verdict {}

        /** It may not be run. */
        record Unknown(String reason) implements Verdict {}

        /** This host cannot tell now whether its key still holds. */
        record Uncertain() implements Verdict {}
    }

    /**
     * Judges. A route that is open to everybody needs no key, but a good one is a customer's there
     * as well.
     *
     * @param open whether the request's route is open to everybody
     * @param keys the keys that the request carries
     * @param trusted whether the host may rely on the keys that it knows
     */
    public static Verdict authenticate(
            Customers customers, boolean open, List<KeyDigest> keys, boolean trusted) {
        if (!customers.keysRequired()) {
            return new Verdict.Anyone();
        }
        Verdict strict = authenticateKeys(customers, keys, trusted);
        return open && !(strict instanceof Verdict.Of) ? new Verdict.Anyone() : strict;
    }

    private static Verdict authenticateKeys(
            Customers customers, List<KeyDigest> keys, boolean trusted) {
        if (keys.size() != 1) {
            String reason = keys.isEmpty() ? "it carries no key" : "it carries several keys";
            return new Verdict.Unknown(reason);
        }
        if (!trusted) {
            return new Verdict.Uncertain();
        }
        return customers
                .findByKey(keys.getFirst())
                .<Verdict>map(Verdict.Of::new)
                .orElse(new Verdict.Unknown("its key is not known"));
    }
}
