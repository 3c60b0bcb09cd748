package io.stackhall.server.callers;

import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.outcome.ClaimCommand;
import io.stackhall.core.outcome.ClaimKey;
import io.stackhall.core.outcome.ClaimPlacement;
import io.stackhall.core.outcome.ClaimResult;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.group.ZoneCommand;
import io.stackhall.server.group.ZoneResult;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Settings;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Acquires and ends claims of idempotency keys at the group of the zone that holds them. */
final class ClaimClient {

    private static final Logger logger = LogManager.getLogger(ClaimClient.class);

    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration END_TIMEOUT = Duration.ofSeconds(10);

    private final GroupClient groups;
    private final ClaimPlacement placement;
    private final String tokenPrefix;
    private final AtomicLong nextToken = new AtomicLong();

    ClaimClient(Settings settings, GroupClient groups, long process) {
        this.groups = groups;
        this.placement = new ClaimPlacement(settings.zones());
        this.tokenPrefix = settings.host() + "/" + Long.toHexString(process) + "/";
    }

    /** Returns a token that is unique among all attempts of all processes. */
    AttemptToken newToken() {
        return new AttemptToken(tokenPrefix + nextToken.incrementAndGet());
    }

    /**
     * Claims the right to run a request. The result is uncertain if the group that holds the claim
     * does not confirm the command.
     */
    ClaimResult claim(ClaimKey key, AttemptToken token, String fingerprint) {
        return send(key, new ClaimCommand.Claim(key, token, fingerprint), CLAIM_TIMEOUT);
    }

    /** Ends a claim by a command; a failure is only logged. */
    void end(ClaimKey key, ClaimCommand command) {
        ClaimResult result = send(key, command, END_TIMEOUT);
        if (!(result instanceof ClaimResult.Done)) {
            logger.warn(
                    "claim.not-ended key={} command={} result={}",
                    key,
                    command.getClass().getSimpleName(),
                    result);
        }
    }

    private ClaimResult send(ClaimKey key, ClaimCommand command, Duration timeout) {
        String group = Settings.zoneGroup(placement.zoneOf(key.key()));
        byte[] bytes = Json.write(ZoneCommand.class, new ZoneCommand.ChangeClaims(command));
        return switch (groups.command(group, bytes, timeout)) {
            case CommandOutcome.Done(byte[] result) -> decode(result);
            case CommandOutcome.Refused(String reason) ->
                    new ClaimResult.Uncertain("its claim cannot be read: " + reason);
            case CommandOutcome.Unknown(String reason) ->
                    new ClaimResult.Uncertain("its claim cannot be read: " + reason);
        };
    }

    private static ClaimResult decode(byte[] bytes) {
        return switch (Json.read(ZoneResult.class, bytes)) {
            case ZoneResult.ClaimsChanged(ClaimResult result) -> result;
            case ZoneResult.OrdersChanged ignored ->
                    throw new IllegalStateException("claim command returned OrdersChanged");
        };
    }
}
