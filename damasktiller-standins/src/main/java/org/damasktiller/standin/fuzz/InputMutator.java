package org.damasktiller.standin.fuzz;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Changes valid inputs of decoders: fields are removed, doubled, retyped and set to values at and
 * past bounds, and bytes are flipped, cut and repeated. The same numbers give the same inputs.
 */
public final class InputMutator {

    /** The largest number of changes of fields of an input. */
    private static final int MAX_FIELD_CHANGES = 3;

    /** One in this number of inputs has changes of bytes as well. */
    private static final int BYTE_CHANGE_INTERVAL = 3;

    /** The largest number of bytes of an input that are flipped. */
    private static final int MAX_FLIPPED_BYTES = 4;

    /** The number of ways to change a line. */
    private static final int LINE_CHANGE_COUNT = 4;

    /** The number of ways to change a field. */
    private static final int FIELD_CHANGE_COUNT = 6;

    /** The number of ways to change bytes. */
    private static final int BYTE_CHANGE_COUNT = 4;

    /** JSON texts that replace values. */
    private static final List<String> VALUES =
            List.of(
                    "0",
                    "1",
                    "-1",
                    "1.9",
                    "-0.0",
                    "1e300",
                    "1e-300",
                    "1e400",
                    "2147483647",
                    "2147483648",
                    "4294967297",
                    "9223372036854775807",
                    "-9223372036854775808",
                    "18446744073709551617",
                    "9".repeat(999),
                    "9".repeat(2_000),
                    "null",
                    "true",
                    "false",
                    "\"\"",
                    "\"2\"",
                    "\"yes\"",
                    "\"0.0.0.0:0\"",
                    "\"999.1.1.1:99999\"",
                    "\"\\u0000\"",
                    "\"\\ud800\"",
                    "\"\\udc00\\ud800\"",
                    "\"\u00e9\u65e5\"",
                    "\"=\"",
                    "\"" + "x".repeat(4_001) + "\"",
                    "{}",
                    "[]",
                    "[0.5]",
                    "[null,[],{}]",
                    "{\"a\":{\"a\":[]}}",
                    "[".repeat(60) + "]".repeat(60),
                    "[".repeat(990) + "]".repeat(990),
                    "[".repeat(2_000) + "]".repeat(2_000),
                    "{\"a\":".repeat(990) + "1" + "}".repeat(990));

    /** Plain texts that replace the value of a line. */
    private static final List<String> LINE_VALUES =
            List.of(
                    "",
                    "0",
                    "-1",
                    "1.9",
                    "1e300",
                    "-1e300",
                    "1e400",
                    "NaN",
                    "Infinity",
                    "-Infinity",
                    "0x1p3",
                    "1d",
                    "9223372036854775808",
                    "99999999999999999999",
                    "true",
                    "=",
                    "a=b",
                    ",",
                    "\u0000\ud800",
                    "0.0.0.0:0",
                    "999.1.1.1:99999",
                    "1.1.1.1:70000",
                    "host.example:80",
                    "x".repeat(4_001));

    /** Reads and writes the trees of valid inputs. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Decides what is changed. */
    private final RandomGenerator random;

    /**
     * Creates a mutator.
     *
     * @param random decides what is changed
     */
    public InputMutator(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Changes a JSON input.
     *
     * @param valid the text of a valid input, an object
     * @return the bytes of a changed input, which may still be valid
     */
    public byte[] changeJson(String valid) {
        try {
            JsonNode root = MAPPER.readTree(valid);
            for (int count = random.nextInt(MAX_FIELD_CHANGES + 1); count > 0; count--) {
                changeField(root);
            }
            return changeSomeBytes(MAPPER.writeValueAsBytes(root));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Changes an input of lines with a name, an equals sign and a value.
     *
     * @param valid the text of a valid input
     * @return the text of a changed input, which may still be valid
     */
    public String changeLines(String valid) {
        List<String> lines = new ArrayList<>(valid.lines().toList());
        for (int count = random.nextInt(MAX_FIELD_CHANGES + 1); count > 0; count--) {
            int index = random.nextInt(lines.size());
            String line = lines.get(index);
            String name = line.substring(0, line.indexOf('=') + 1);
            switch (random.nextInt(LINE_CHANGE_COUNT)) {
                case 0 -> lines.set(index, "");
                case 1 -> lines.add(name + pick(LINE_VALUES));
                default -> lines.set(index, name + pick(LINE_VALUES));
            }
        }
        byte[] bytes = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        return new String(changeSomeBytes(bytes), StandardCharsets.UTF_8);
    }

    /**
     * Changes one field or list element, anywhere in a tree.
     *
     * @param root the tree, which is changed
     */
    private void changeField(JsonNode root) {
        List<ContainerNode<?>> containers = new ArrayList<>();
        collectContainers(root, containers);
        if (containers.isEmpty()) {
            return;
        }
        ContainerNode<?> container = pick(containers);
        if (container instanceof ObjectNode object && !object.isEmpty()) {
            List<String> names = new ArrayList<>();
            object.fieldNames().forEachRemaining(names::add);
            changeFieldOf(object, pick(names));
        } else if (container instanceof ArrayNode array) {
            int index = random.nextInt(array.size() + 1);
            if (index < array.size() && random.nextBoolean()) {
                array.remove(index);
            } else {
                array.insertRawValue(index, new RawValue(pick(VALUES)));
            }
        }
    }

    /**
     * Removes, doubles, moves or replaces a field.
     *
     * @param object the object with the field
     * @param name the name of the field
     */
    private void changeFieldOf(ObjectNode object, String name) {
        switch (random.nextInt(FIELD_CHANGE_COUNT)) {
            case 0 -> object.remove(name);
            case 1 ->
                    object.putRawValue(
                            name,
                            new RawValue(pick(VALUES) + ",\"" + name + "\":" + object.get(name)));
            case 2 -> object.set("other", object.remove(name));
            default -> object.putRawValue(name, new RawValue(pick(VALUES)));
        }
    }

    /**
     * Collects the objects and lists of a tree.
     *
     * @param node the tree
     * @param containers receives the objects and lists
     */
    private static void collectContainers(JsonNode node, List<ContainerNode<?>> containers) {
        if (node instanceof ContainerNode<?> container) {
            containers.add(container);
            container.forEach(child -> collectContainers(child, containers));
        }
    }

    /**
     * Changes the bytes of some inputs.
     *
     * @param bytes the input
     * @return the same input or a changed one
     */
    private byte[] changeSomeBytes(byte[] bytes) {
        if (bytes.length == 0 || random.nextInt(BYTE_CHANGE_INTERVAL) != 0) {
            return bytes;
        }
        int position = random.nextInt(bytes.length);
        return switch (random.nextInt(BYTE_CHANGE_COUNT)) {
            case 0 -> Arrays.copyOf(bytes, position);
            case 1 -> repeatFrom(bytes, position);
            default -> flip(bytes);
        };
    }

    /**
     * Appends the end of an input once more.
     *
     * @param bytes the input
     * @param position where the repeated part begins
     * @return the longer input
     */
    private static byte[] repeatFrom(byte[] bytes, int position) {
        byte[] longer = Arrays.copyOf(bytes, bytes.length * 2 - position);
        System.arraycopy(bytes, position, longer, bytes.length, bytes.length - position);
        return longer;
    }

    /**
     * Replaces some bytes by others.
     *
     * @param bytes the input, which is changed
     * @return the same array
     */
    private byte[] flip(byte[] bytes) {
        for (int count = random.nextInt(MAX_FLIPPED_BYTES) + 1; count > 0; count--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        return bytes;
    }

    /**
     * Picks an element.
     *
     * @param values the elements, at least one
     * @param <T> the type of the elements
     * @return one of them
     */
    private <T> T pick(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }
}
