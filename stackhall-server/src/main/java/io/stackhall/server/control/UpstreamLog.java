package io.stackhall.server.control;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.SoftwareVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs the changes of upstreams at a control host. */
final class UpstreamLog {

    private static final Logger logger = LogManager.getLogger(UpstreamLog.class);

    private UpstreamLog() {}

    /** Logs the new state of an upstream. */
    static void logChange(Instance instance) {
        logger.info(
                "upstream.changed id={} address={} service={} zone={} state={} sequence={}"
                        + " software={} models={}",
                instance.id(),
                instance.address(),
                instance.service(),
                instance.zone(),
                instance.state(),
                instance.sequence(),
                instance.software().map(SoftwareVersion::value).orElse(""),
                instance.models());
    }
}
