package io.stackhall.server.explain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * What the logs say of one request: its own lines and those of the attempt whose stream it goes on
 * with, what was held against its content and the parts of its prompt until its end, and for the
 * time from before its first to its last what was believed of the instances, the model and the
 * routes that they name.
 */
public final class RequestStory {

    private static final String ID = "id";
    private static final String INSTANCE = "instance";
    private static final String MODEL = "model";
    private static final String DIGEST = "digest";
    private static final String CAUSE = "cause";
    private static final String PARTS = "parts";
    private static final String RESUMES = "resumes";

    private RequestStory() {}

    /** Returns the lines of a request's story in the order of their times. */
    public static List<LogLine> of(String requestId, Collection<LogLine> all) {
        List<LogLine> sorted = all.stream().sorted().toList();
        Set<String> attempts = attempts(requestId, sorted);
        List<LogLine> own = sorted.stream().filter(line -> isOfRequest(line, attempts)).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        Set<String> instances = values(own, INSTANCE);
        Set<String> models = values(own, MODEL);
        String first = own.getFirst().time();
        String last = own.getLast().time();
        Set<LogLine> story = new LinkedHashSet<>(own);
        for (String instance : instances) {
            latest(sorted, first, line -> isStateOf(line, instance)).ifPresent(story::add);
            latest(sorted, first, line -> isLimitOf(line, instance)).ifPresent(story::add);
            latest(sorted, first, line -> isRestOf(line, instance)).ifPresent(story::add);
        }
        Set<String> digests = values(own, DIGEST);
        digests.addAll(values(own, CAUSE));
        values(own, PARTS).forEach(parts -> digests.addAll(List.of(parts.split(","))));
        sorted.stream()
                .filter(line -> line.time().compareTo(last) <= 0)
                .filter(line -> isHeldAgainst(line, digests))
                .forEach(story::add);
        latest(sorted, first, line -> line.event().equals("routes.in-force")).ifPresent(story::add);
        latest(sorted, first, line -> line.event().equals("control.leads")).ifPresent(story::add);
        sorted.stream()
                .filter(line -> between(line, first, last))
                .filter(line -> concerns(line, instances, models))
                .forEach(story::add);
        return story.stream().sorted().toList();
    }

    /** Returns the request's id, and that of the attempt whose stream it goes on with. */
    private static Set<String> attempts(String requestId, List<LogLine> all) {
        Set<String> attempts = new LinkedHashSet<>(Set.of(requestId));
        all.stream()
                .filter(line -> isOfRequest(line, Set.of(requestId)))
                .map(line -> line.field(RESUMES))
                .forEach(attempts::add);
        attempts.remove("");
        return attempts;
    }

    private static boolean isOfRequest(LogLine line, Set<String> requestIds) {
        boolean ofRequests =
                line.event().startsWith("request.") || line.event().startsWith("attempt.");
        return ofRequests && requestIds.contains(line.field(ID));
    }

    private static boolean isHeldAgainst(LogLine line, Set<String> digests) {
        return switch (line.event()) {
            case "request.suspected", "request.acquitted", "request.sentenced", "request.apart" ->
                    digests.contains(line.field(DIGEST));
            default -> false;
        };
    }

    private static boolean isStateOf(LogLine line, String instance) {
        return line.event().equals("instance.changed") && line.field(ID).equals(instance);
    }

    private static boolean isLimitOf(LogLine line, String instance) {
        return line.event().equals("upstream.limit-in-force") && line.field(ID).equals(instance);
    }

    private static boolean isRestOf(LogLine line, String instance) {
        return line.event().equals("upstream.rest-heard") && line.field(ID).equals(instance);
    }

    private static boolean concerns(LogLine line, Set<String> instances, Set<String> models) {
        return switch (line.event()) {
            case "instance.changed",
                    "upstream.changed",
                    "upstream.left",
                    "upstream.unreachable",
                    "upstream.leaving",
                    "upstream.leaving-heard",
                    "upstream.rest-heard",
                    "upstream.limit-heard",
                    "upstream.limit-told",
                    "upstream.limit-in-force" ->
                    instances.contains(line.field(ID));
            case "order.answered" ->
                    instances.contains(line.field(INSTANCE)) || models.contains(line.field(MODEL));
            case "routes.in-force",
                    "control.leads",
                    "orders.take-over",
                    "orders.begin",
                    "daemon.started",
                    "daemon.draining",
                    "control-host.connected",
                    "control-host.lost" ->
                    true;
            default -> false;
        };
    }

    private static boolean between(LogLine line, String first, String last) {
        return line.time().compareTo(first) >= 0 && line.time().compareTo(last) <= 0;
    }

    private static Optional<LogLine> latest(
            List<LogLine> sorted, String before, Predicate<LogLine> matching) {
        Stream<LogLine> earlier =
                sorted.stream().filter(line -> line.time().compareTo(before) <= 0);
        List<LogLine> found = new ArrayList<>(earlier.filter(matching).toList());
        return found.isEmpty() ? Optional.empty() : Optional.of(found.getLast());
    }

    private static Set<String> values(List<LogLine> lines, String field) {
        Set<String> values = new LinkedHashSet<>();
        lines.stream().map(line -> line.field(field)).forEach(values::add);
        values.remove("");
        return values;
    }
}
