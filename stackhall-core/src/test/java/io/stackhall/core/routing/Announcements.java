package io.stackhall.core.routing;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.membership.Resident;
import java.util.List;

/** Announcements for tests. */
public final class Announcements {

    private Announcements() {}

    /** Returns the announcement of an engine that holds one model and runs some requests. */
    public static Announcement engine(
            String id, long sequence, String model, int slots, int running) {
        return new Announcement(
                new UpstreamId(id),
                new ZoneId("plateau"),
                id + ":1",
                1,
                sequence,
                List.of(),
                new Announcement.Memory(
                        1,
                        10_000,
                        0,
                        List.of(new Resident(new Artifact(new ModelId(model), "1"), 5000))),
                new Announcement.Load(slots, running, 0),
                new Announcement.Fencing(true, 0),
                false,
                List.of());
    }
}
