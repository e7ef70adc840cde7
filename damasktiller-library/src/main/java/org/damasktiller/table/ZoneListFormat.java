package org.damasktiller.table;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import java.util.HashSet;
import java.util.List;
import org.damasktiller.identity.ZoneName;

/**
 * Converts lists of availability zones, which are joined by {@code |}; {@code any} allows every
 * zone.
 */
final class ZoneListFormat implements CellFormat<List<ZoneName>> {

    /** The text of an empty list, which allows every availability zone. */
    private static final String ANY = "any";

    /** The separator between two zones. */
    private static final char SEPARATOR = '|';

    /** The format of one zone. */
    private final NameFormat<ZoneName> zoneFormat = new NameFormat<>(ZoneName::new);

    /** Creates a format. */
    ZoneListFormat() {}

    @Override
    public List<ZoneName> parse(String text) {
        if (text.equals(ANY)) {
            return List.of();
        }
        List<ZoneName> zones =
                Splitter.on(SEPARATOR)
                        .trimResults()
                        .splitToStream(text)
                        .map(this::parseZone)
                        .toList();
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
     * Parses one zone of a list.
     *
     * @param text the name of the zone; {@code any} is not allowed among other zones
     * @return the zone
     */
    private ZoneName parseZone(String text) {
        if (text.equals(ANY)) {
            throw new IllegalArgumentException(text);
        }
        return zoneFormat.parse(text);
    }
}
