package org.damasktiller.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.KindName;

/** Numbers the kinds of work from zero, so that estimates can be kept in arrays. */
public final class KindIndex {

    /** The numbers by name. */
    private final Map<KindName, Integer> numbers = new HashMap<>();

    /** The names by number. */
    private final List<KindName> names = new ArrayList<>();

    /** Creates an index without kinds. */
    public KindIndex() {}

    /**
     * Returns the number of a kind and assigns one to a new kind.
     *
     * @param name the kind
     * @return its number
     */
    public int number(KindName name) {
        Integer number = numbers.get(name);
        if (number != null) {
            return number;
        }
        numbers.put(name, names.size());
        names.add(name);
        return names.size() - 1;
    }

    /**
     * Returns the name of a numbered kind.
     *
     * @param number the number
     * @return the kind
     */
    public KindName name(int number) {
        return names.get(number);
    }

    /**
     * Returns how many kinds are numbered.
     *
     * @return the number of kinds
     */
    public int size() {
        return names.size();
    }
}
