package org.damasktiller.table;

import java.util.List;
import java.util.stream.Stream;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;

/** Creates small tables from rows such as {@code billing 3 60}: kind, weight and running limit. */
public final class TestTables {

    private TestTables() {}

    public static OperatorTable table(long version, String... rows) {
        List<KindOfWork> parsed = Stream.of(rows).map(TestTables::row).toList();
        return OperatorTable.of(version, parsed);
    }

    public static KindOfWork row(String text) {
        String[] words = text.split(" ", -1);
        return KindOfWork.builder(new KindName(words[0]), new TenantName("accounts"))
                .weight(Integer.parseInt(words[1]))
                .runningLimit(Integer.parseInt(words[2]))
                .build();
    }
}
