package org.damasktiller.authority.layout;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;

/**
 * Divides each availability zone into a fixed number of cells. A rack belongs to one cell of its
 * zone, and a request key to one cell of the zones in which its work may run, by rendezvous
 * hashing: the answer is the same on every entry VM. Immutable.
 */
public final class CellLayout {

    /** The hash by which racks and keys find their cell. */
    private static final HashFunction HASH = Hashing.murmur3_128(0x6365_6c6c);

    /** The shape of a job's identity, with the cell as its first group. */
    private static final Pattern JOB_IDENTITY = Pattern.compile("(.+)-\\d+-\\d+");

    /** Separates the zone from the number of the cell. */
    private static final char SEPARATOR = '.';

    /** The availability zones. */
    private final List<ZoneName> zones;

    /** The number of cells of each availability zone. */
    private final int cellsPerZone;

    /**
     * Creates a layout.
     *
     * @param zones the availability zones
     * @param cellsPerZone the number of cells of each, at least 1
     * @throws IllegalArgumentException if there is no zone or no cell
     */
    public CellLayout(Collection<ZoneName> zones, int cellsPerZone) {
        if (zones.isEmpty() || cellsPerZone < 1) {
            throw new IllegalArgumentException("a layout needs a zone and a cell");
        }
        this.zones = List.copyOf(zones);
        this.cellsPerZone = cellsPerZone;
    }

    /**
     * Lists the cells of an availability zone.
     *
     * @param zone the zone
     * @return the cells
     */
    public List<CellId> cellsOf(ZoneName zone) {
        List<CellId> cells = new ArrayList<>();
        for (int index = 0; index < cellsPerZone; index++) {
            cells.add(new CellId(zone.value() + SEPARATOR + index));
        }
        return cells;
    }

    /**
     * Returns the availability zone of a cell.
     *
     * @param cell the cell
     * @return the zone
     */
    public ZoneName zoneOf(CellId cell) {
        return new ZoneName(cell.value().substring(0, cell.value().lastIndexOf(SEPARATOR)));
    }

    /**
     * Returns the cell of a rack.
     *
     * @param zone the availability zone of the rack
     * @param rack the rack
     * @return the cell
     */
    public CellId cellOf(ZoneName zone, RackName rack) {
        return highest(cellsOf(zone), rack.value());
    }

    /**
     * Returns the cell that accepts the jobs of a request key.
     *
     * @param tenant the tenant that chose the key
     * @param key the key
     * @param places the availability zones in which the work may run, empty for any
     * @return the cell
     */
    public CellId cellOf(TenantName tenant, RequestKey key, List<ZoneName> places) {
        return highest(cellsOf(places), tenant.value() + '\n' + key.value());
    }

    /**
     * Returns the cell that accepted a job. The identity of a job is that of its cell followed by
     * two numbers, each after a hyphen.
     *
     * @param job the job
     * @return the cell, or empty if no cell of this layout gives such identities
     */
    public Optional<CellId> cellOf(JobId job) {
        Matcher matcher = JOB_IDENTITY.matcher(job.value());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        CellId cell = new CellId(matcher.group(1));
        return zones.stream().anyMatch(zone -> cellsOf(zone).contains(cell))
                ? Optional.of(cell)
                : Optional.empty();
    }

    /**
     * Returns a cell's part of a limit that is split evenly among the cells of some zones. The
     * parts add up to the limit exactly; the first cells get what does not divide.
     *
     * @param limit the limit, zero for none
     * @param places the availability zones, empty for all
     * @param cell the cell
     * @return the part; zero for a cell of another zone, the largest number if there is no limit
     */
    public int share(int limit, List<ZoneName> places, CellId cell) {
        if (limit == 0) {
            return Integer.MAX_VALUE;
        }
        List<CellId> cells = cellsOf(places);
        int position = cells.indexOf(cell);
        if (position < 0) {
            return 0;
        }
        return limit / cells.size() + (position < limit % cells.size() ? 1 : 0);
    }

    /**
     * Lists the cells of some zones in the order of the zones.
     *
     * @param places the availability zones, empty for all
     * @return the cells
     */
    private List<CellId> cellsOf(List<ZoneName> places) {
        return zones.stream()
                .filter(zone -> places.isEmpty() || places.contains(zone))
                .flatMap(zone -> cellsOf(zone).stream())
                .toList();
    }

    /**
     * Returns the cell with the highest hash together with a text.
     *
     * @param cells the cells, at least one
     * @param text the text
     * @return the cell
     */
    private static CellId highest(List<CellId> cells, String text) {
        return cells.stream()
                .max(Comparator.comparingLong(cell -> hash(cell, text)))
                .orElseThrow(() -> new IllegalArgumentException("no cell in the places allowed"));
    }

    /**
     * Hashes a cell together with a text.
     *
     * @param cell the cell
     * @param text the text
     * @return the hash
     */
    private static long hash(CellId cell, String text) {
        Hasher hasher = HASH.newHasher();
        hasher.putString(cell.value(), StandardCharsets.UTF_8);
        hasher.putChar('\n');
        hasher.putString(text, StandardCharsets.UTF_8);
        return hasher.hash().asLong();
    }
}
