package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.junit.jupiter.api.Test;

/** Tests the difference between two versions of the manifest. */
final class ManifestChangeTest {

    @Test
    void changeLeadsFromOneVersionToTheOther() {
        Random random = new Random(7);
        Manifest from = TestManifests.random(1, random);
        for (long version = 2; version < 200; version++) {
            Manifest to = TestManifests.random(version, random);
            ManifestChange change = decoded(ManifestChange.between(version - 1, from, version, to));
            Manifest result = Objects.requireNonNull(change.applyTo(from));
            assertThat(result.version(), is(version));
            assertThat(result.routes(), containsInAnyOrder(to.routes().toArray(Route[]::new)));
            assertThat(result.services(), is(to.services()));
            assertThat(result.unguardedServices(), is(to.unguardedServices()));
            assertThat(result.limits(), is(to.limits()));
            from = to;
        }
    }

    @Test
    void changeIsRefusedByAnotherVersionThanThatItBeginsWith() {
        Manifest first = TestManifests.of(1, List.of("a", "b"));
        Manifest second = TestManifests.of(2, List.of("a", "b", "c"));
        Manifest other = TestManifests.of(1, List.of("a", "d"));
        ManifestChange change = ManifestChange.between(1, first, 2, second);
        assertThat(change.applyTo(first), notNullValue());
        assertThat(change.applyTo(other), nullValue());
    }

    @Test
    void damagedValueIsNoChange() {
        byte[] value =
                ManifestChange.between(
                                1,
                                TestManifests.of(1, List.of("a")),
                                2,
                                TestManifests.of(2, List.of("a", "b")))
                        .encode();
        assertThat(ManifestChange.decode(new byte[0]), nullValue());
        assertThat(ManifestChange.decode(Arrays.copyOf(value, value.length / 2)), nullValue());
        assertThat(ManifestChange.decode(TestManifests.unreadable()), nullValue());
    }

    /** Returns a change as another process reads it from the store. */
    private static ManifestChange decoded(ManifestChange change) {
        return Objects.requireNonNull(ManifestChange.decode(change.encode()));
    }
}
