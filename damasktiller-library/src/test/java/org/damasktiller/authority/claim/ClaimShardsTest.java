package org.damasktiller.authority.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.stream.IntStream;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.junit.jupiter.api.Test;

class ClaimShardsTest {

    @Test
    void testShardOfAKeyNeverChanges() {
        ClaimShards shards = new ClaimShards(8);
        List<Integer> found =
                IntStream.range(0, 8)
                        .mapToObj(number -> key("corrib", "billing", "order-" + number))
                        .map(shards::shardOf)
                        .toList();
        assertThat(found, contains(4, 2, 0, 3, 1, 0, 0, 7));
    }

    @Test
    void testKeysAreSpreadEvenly() {
        ClaimShards shards = new ClaimShards(8);
        int[] counts = new int[8];
        for (int number = 0; number < 8_000; number++) {
            counts[shards.shardOf(key("corrib", "billing", "order-" + number))]++;
        }
        for (int count : counts) {
            assertThat(count, allOf(greaterThan(850), lessThan(1_150)));
        }
    }

    @Test
    void testPartsOfAKeyAreKeptApart() {
        assertThat(key("a", "bc", "d").text(), is(not(key("ab", "c", "d").text())));
        assertThat(key("a", "b", "cd").text(), is(not(key("a", "bc", "d").text())));
    }

    private static ClaimKey key(String tenant, String kind, String key) {
        return new ClaimKey(new TenantName(tenant), new KindName(kind), new RequestKey(key));
    }
}
