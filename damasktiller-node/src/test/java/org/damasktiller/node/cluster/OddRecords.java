package org.damasktiller.node.cluster;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Generates records and keys as another writer may leave them in the store: values of another type
 * or out of bounds, deep nesting, other encodings, cut or repeated text.
 */
final class OddRecords {

    /** Matches a value of a JSON object that is neither an object nor a list. */
    private static final Pattern VALUE_PATTERN =
            Pattern.compile("(?<=:)(\"[^\"]*\"|-?[0-9.]+|true|false)");

    /** The values that replace others. */
    private static final List<String> VALUES =
            List.of(
                    "0",
                    "-1",
                    "1.5",
                    "1e400",
                    "-0.0",
                    "9223372036854775807",
                    "9223372036854775808",
                    "-9223372036854775808",
                    "18446744073709551621",
                    "9".repeat(2_000),
                    "null",
                    "true",
                    "\"\"",
                    "\"5\"",
                    "\"\\u0000\\ud800\"",
                    "\"0.0.0.0:0\"",
                    "\"999.1.1.1:99999\"",
                    "\"host.example:80\"",
                    "{}",
                    "[]",
                    "[null,5,{}]",
                    "[".repeat(900) + "]".repeat(900),
                    "[".repeat(20_000),
                    "{\"a\":".repeat(500) + "1" + "}".repeat(500),
                    '"' + "x".repeat(100_000) + '"');

    /** The encodings in which a text may be written. */
    private static final List<Charset> ENCODINGS =
            List.of(
                    StandardCharsets.UTF_16,
                    StandardCharsets.UTF_16LE,
                    StandardCharsets.ISO_8859_1,
                    StandardCharsets.US_ASCII);

    /** The characters of odd keys. */
    private static final String KEY_CHARACTERS =
            "ab/\\\r\n\t \0\"'{}:;,%?#\u00e9\u65e5\ud800\uffff";

    /** The length of the longest key that the store takes, in bytes. */
    private static final int MAX_KEY_LENGTH = 200;

    /** Decides what is generated. */
    private final Random random;

    /**
     * Creates a generator.
     *
     * @param random decides what is generated
     */
    OddRecords(Random random) {
        this.random = random;
    }

    /**
     * Generates an odd identifier for a key.
     *
     * @return the identifier, which may be empty
     */
    String id() {
        int length = random.nextInt(4) == 0 ? MAX_KEY_LENGTH : random.nextInt(8);
        StringBuilder id = new StringBuilder();
        for (int index = 0; index < length; index++) {
            id.append(KEY_CHARACTERS.charAt(random.nextInt(KEY_CHARACTERS.length())));
        }
        return id.toString();
    }

    /**
     * Changes a record.
     *
     * @param text the JSON text of a valid record
     * @return the bytes of an odd one, which may still be valid
     */
    byte[] change(String text) {
        String changed = text;
        for (int change = random.nextInt(3); change >= 0; change--) {
            changed = replaceOneValue(changed);
        }
        byte[] bytes = changed.getBytes(StandardCharsets.UTF_8);
        return switch (random.nextInt(8)) {
            case 0 -> changed.getBytes(ENCODINGS.get(random.nextInt(ENCODINGS.size())));
            case 1 -> Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 2 -> (changed + changed).getBytes(StandardCharsets.UTF_8);
            case 3 -> ('[' + changed + ']').getBytes(StandardCharsets.UTF_8);
            case 4 -> replaceOneByte(bytes);
            default -> bytes;
        };
    }

    /**
     * Replaces one of the values of a record.
     *
     * @param text the JSON text
     * @return the text with another value
     */
    private String replaceOneValue(String text) {
        Matcher matcher = VALUE_PATTERN.matcher(text);
        int count = (int) matcher.results().count();
        int chosen = count == 0 ? 0 : random.nextInt(count);
        matcher.reset();
        for (int index = 0; matcher.find(); index++) {
            if (index == chosen) {
                return text.substring(0, matcher.start())
                        + VALUES.get(random.nextInt(VALUES.size()))
                        + text.substring(matcher.end());
            }
        }
        return text;
    }

    /**
     * Replaces one byte by any other.
     *
     * @param bytes the bytes, which are changed
     * @return the same bytes
     */
    private byte[] replaceOneByte(byte[] bytes) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        return bytes;
    }
}
