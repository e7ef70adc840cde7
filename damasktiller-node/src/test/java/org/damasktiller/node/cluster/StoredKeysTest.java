package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItems;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.damasktiller.table.TableKeys;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that docs/DESIGN.md says of each stored key what a late write does and when it ends. */
final class StoredKeysTest {

    /** A row of a table, and the fixed part of its key, before a name in capitals. */
    private static final Pattern ROW =
            Pattern.compile("\\| `([a-z/-]+)([A-Z]*)[A-Z/-]*` \\| [^|]+ \\| [^|]+ \\|");

    /** The heading of the section with the table of late writes. */
    private static final String LATE_WRITES = "## What a late copy of a write does";

    /** The heading of the section with the table of lifetimes. */
    private static final String LIFETIMES = "## How long each key lives";

    /** A name of a cell, a submission or a VM. */
    private static final String NAME = "x";

    /** The clock and the timers. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The contents of the store. */
    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The keys that processes have written. */
    private final Set<String> writtenKeys = new TreeSet<>();

    @ParameterizedTest
    @ValueSource(strings = {LATE_WRITES, LIFETIMES})
    void eachKeyThatCanBeBuiltIsInTheTable(String heading) throws ReflectiveOperationException {
        List<String> keys = new ArrayList<>(keysOf(CellKeys.class));
        keys.addAll(keysOf(TableKeys.class));
        keys.remove(CellKeys.PUBLIC_PREFIX + NAME);
        assertThat(keys, hasItems(CellKeys.LAYOUT, CellKeys.head(NAME), TableKeys.HEAD));
        assertThat(undocumented(heading, keys), empty());
    }

    @ParameterizedTest
    @ValueSource(strings = {LATE_WRITES, LIFETIMES})
    void eachKeyThatProcessesWriteIsInTheTable(String heading) {
        startProcess("a1");
        startProcess("a2");
        runtime.advance(10_000);
        assertThat(
                writtenKeys,
                hasItems(
                        CellKeys.LAYOUT, CellKeys.NODE_PREFIX + "vm-a1", CellKeys.MANIFEST_CHANGE));
        assertThat(undocumented(heading, writtenKeys), empty());
    }

    /**
     * Returns the keys that are not in a table.
     *
     * @param heading the heading of the section with the table
     * @param keys the keys
     * @return those without a row
     */
    private static List<String> undocumented(String heading, Iterable<String> keys) {
        Map<String, Boolean> prefixes = documentedPrefixes(heading);
        List<String> missing = new ArrayList<>();
        for (String key : keys) {
            boolean found =
                    prefixes.entrySet().stream()
                            .anyMatch(
                                    row ->
                                            row.getValue()
                                                    ? key.startsWith(row.getKey())
                                                    : key.equals(row.getKey()));
            if (!found) {
                missing.add(key);
            }
        }
        return missing;
    }

    /**
     * Reads a table.
     *
     * @param heading the heading of the section with the table
     * @return for the fixed part of each key whether a name follows it
     */
    private static Map<String, Boolean> documentedPrefixes(String heading) {
        String page;
        try {
            page = Files.readString(Path.of("..", "docs", "DESIGN.md"));
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
        assertThat(page, containsString(heading));
        String section = page.substring(page.indexOf(heading) + heading.length());
        return section.substring(0, section.indexOf("\n## "))
                .lines()
                .map(ROW::matcher)
                .filter(Matcher::lookingAt)
                .collect(
                        Collectors.toMap(
                                row -> row.group(1),
                                row -> !row.group(2).isEmpty(),
                                (a, b) -> a || b));
    }

    /**
     * Builds a key with each constant and each method of a class of keys.
     *
     * @param type the class
     * @return the keys
     * @throws ReflectiveOperationException if a member can't be used
     */
    private static List<String> keysOf(Class<?> type) throws ReflectiveOperationException {
        List<String> keys = new ArrayList<>();
        for (Field field : type.getDeclaredFields()) {
            if (field.getType() == String.class) {
                field.setAccessible(true);
                String key = String.valueOf(field.get(null));
                keys.add(key.endsWith("/") ? key + NAME : key);
            }
        }
        for (Method method : type.getDeclaredMethods()) {
            boolean built = method.getReturnType() == String.class && !method.isSynthetic();
            if (built && !Modifier.isPrivate(method.getModifiers())) {
                method.setAccessible(true);
                Object[] arguments =
                        Arrays.stream(method.getParameterTypes())
                                .map(StoredKeysTest::argumentOf)
                                .toArray();
                keys.add(String.valueOf(method.invoke(null, arguments)));
            }
        }
        return keys;
    }

    /**
     * Returns an argument for a method that builds a key.
     *
     * @param type the type of the parameter
     * @return a number, or a name
     */
    private static Object argumentOf(Class<?> type) {
        if (type == int.class) {
            return 1;
        }
        return type == long.class ? (Object) 1L : NAME;
    }

    /**
     * Starts the process of a VM, which knows two versions of the manifest.
     *
     * @param zone the zone of the VM
     */
    private void startProcess(String zone) {
        FaultPlan plan =
                new FaultPlan() {
                    @Override
                    public CallFault faultFor(String call) {
                        return CallFault.ANSWERED;
                    }

                    @Override
                    public CallFault faultForCommit(StoreTransaction transaction) {
                        writtenKeys.addAll(transaction.writes().keySet());
                        return CallFault.ANSWERED;
                    }
                };
        ClusterMember member =
                new ClusterMember(
                        new NodeIdentity(
                                "vm-" + zone,
                                "process-" + zone,
                                zone,
                                1_000,
                                runtime.unixMillis(),
                                ""),
                        new LayoutSettings(Map.of("a1", "a", "a2", "a"), 2),
                        CellSettings.builder().build(),
                        new FaultInjectingStoreClient(store, runtime, plan),
                        unusedWorkerClient(),
                        AdviceClient.NONE,
                        TestManifests.DECODER,
                        runtime,
                        (event, fields) -> {});
        member.start();
        member.onManifest(TestManifests.of(1, List.of("route")), 1, false);
        runtime.schedule(
                5_000,
                () -> member.onManifest(TestManifests.of(2, List.of("route", "other")), 2, false));
    }

    /**
     * Creates a client of workers; there are none.
     *
     * @return the client
     */
    private static WorkerClient unusedWorkerClient() {
        return (WorkerClient)
                Proxy.newProxyInstance(
                        WorkerClient.class.getClassLoader(),
                        new Class<?>[] {WorkerClient.class},
                        (proxy, method, arguments) -> null);
    }
}
