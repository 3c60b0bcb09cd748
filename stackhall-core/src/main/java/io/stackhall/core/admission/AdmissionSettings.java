package io.stackhall.core.admission;

/**
 * The limits of admission.
 *
 * @param maxWaiting the maximum number of waiting requests in one process
 * @param maxWaitingPerCaller the maximum number of waiting requests of one caller
 * @param retryShare retries allowed for each first attempt
 * @param maxAttempts the maximum number of attempts of one request
 */
public record AdmissionSettings(
        int maxWaiting, int maxWaitingPerCaller, double retryShare, int maxAttempts) {

    /** Checks the ranges. */
    public AdmissionSettings {
        if (maxWaiting < 1 || maxWaitingPerCaller < 1 || maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "bounds must be positive: "
                            + maxWaiting
                            + ", "
                            + maxWaitingPerCaller
                            + ", "
                            + maxAttempts);
        }
    }

    /** Returns the default settings. */
    public static AdmissionSettings standard() {
        return new AdmissionSettings(2000, 500, 0.1, 3);
    }
}
