package org.damasktiller.table;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import java.util.HashSet;
import java.util.List;
import org.damasktiller.identity.ZoneName;

/** Converts the availability zones of a row, joined by {@code |}, or {@code any}. */
final class PlaceFormat implements CellFormat<List<ZoneName>> {

    /** The text for every availability zone. */
    private static final String ANY = "any";

    /** What stands between two zones. */
    private static final char SEPARATOR = '|';

    /** The format of one zone. */
    private final NameFormat<ZoneName> zoneFormat = new NameFormat<>(ZoneName::new);

    /** Creates a format. */
    PlaceFormat() {}

    @Override
    public List<ZoneName> parse(String text) {
        if (text.equals(ANY)) {
            return List.of();
        }
        List<ZoneName> zones =
                Splitter.on(SEPARATOR).trimResults().splitToStream(text).map(this::zone).toList();
        if (new HashSet<>(zones).size() != zones.size()) {
            throw new IllegalArgumentException(text);
        }
        return zones;
    }

    @Override
    public String format(List<ZoneName> value) {
        return value.isEmpty() ? ANY : Joiner.on(SEPARATOR).join(value);
    }

    @Override
    public String allowed() {
        return "any, or availability zones joined by |, each once";
    }

    /**
     * Reads one zone of a list.
     *
     * @param text the name of the zone
     * @return the zone
     */
    private ZoneName zone(String text) {
        if (text.equals(ANY)) {
            throw new IllegalArgumentException(text);
        }
        return zoneFormat.parse(text);
    }
}
