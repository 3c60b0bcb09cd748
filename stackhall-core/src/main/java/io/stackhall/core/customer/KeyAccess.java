package io.stackhall.core.customer;

import java.util.List;

/** Authenticates requests by the keys that they carry. */
public final class KeyAccess {

    private KeyAccess() {}

    /** The result of authenticating a request. */
    public sealed interface Verdict {

        /** It needs no key and is not attributed to a customer. */
        record Anyone() implements Verdict {}

        /** It carries a customer's key. */
        record Of(Customer customer) implements Verdict {}

        /** It is refused. */
        record Unknown(String reason) implements Verdict {}

        /** This host cannot determine whether the request's key is still valid. */
        record Uncertain() implements Verdict {}
    }

    /**
     * Authenticates a request. An open route requires no key, but a valid one still attributes the
     * request to its customer.
     *
     * @param open whether the request's route requires no key
     * @param keys the keys that the request carries
     * @param trusted whether this host's knowledge of keys is valid, see {@link KeyLease}
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
