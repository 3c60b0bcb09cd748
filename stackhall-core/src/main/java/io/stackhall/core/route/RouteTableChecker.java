package io.stackhall.core.route;

import io.stackhall.core.config.Finding;
import io.stackhall.core.customer.CustomersChecker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds all errors in a version of the routes and services. */
public final class RouteTableChecker {

    private RouteTableChecker() {}

    /** Returns the findings, each with the route or customer concerned. */
    public static List<Finding> check(RouteTable table) {
        List<Finding> findings = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (Route route : table.routes()) {
            String place = "route " + route.name();
            if (!places.add(route.host() + " " + route.pathPrefix())) {
                String shared = route.host() + route.pathPrefix();
                findings.add(new Finding(place, "shares " + shared + " with another route"));
            }
            if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
                findings.add(
                        new Finding(
                                place,
                                "prefix '"
                                        + route.pathPrefix()
                                        + "' does not begin and end with a slash"));
            }
            if (!route.timeout().isPositive()) {
                findings.add(new Finding(place, "timeout " + route.timeout() + " is not positive"));
            }
            checkSplit(table, route, place, findings);
        }
        findings.addAll(CustomersChecker.check(table.customers()));
        return findings;
    }

    private static void checkSplit(
            RouteTable table, Route route, String place, List<Finding> findings) {
        long total = 0;
        for (Route.Share share : route.split()) {
            total += share.weight();
            if (table.service(share.service()).isEmpty()) {
                findings.add(new Finding(place, "service '" + share.service() + "' is unknown"));
            }
            if (share.weight() < 0) {
                findings.add(new Finding(place, "weight " + share.weight() + " is negative"));
            }
        }
        if (total <= 0) {
            findings.add(new Finding(place, "the weights add up to " + total));
        }
    }
}
