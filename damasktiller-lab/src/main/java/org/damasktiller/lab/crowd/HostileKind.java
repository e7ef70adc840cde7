package org.damasktiller.lab.crowd;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.zip.GZIPOutputStream;

/** What a hostile caller sends. The size of its body is given with each request. */
public enum HostileKind {
    /** A body of legal size, sent at once. */
    WHOLE_BODIES,
    /** A body of legal size, sent in small pieces in turn with those of the other callers. */
    PIECES {
        @Override
        int pieceBytes() {
            return SMALL_PIECE_BYTES;
        }
    },
    /** A chunked body of legal size, in chunks of 16 KB. */
    LARGE_CHUNKS {
        @Override
        byte[] framed(byte[] body) {
            return chunked(body, LARGE_CHUNK_BYTES);
        }

        @Override
        String framing(int bodyBytes) {
            return CHUNKED;
        }
    },
    /** A chunked body of legal size, in chunks of one byte. */
    SMALL_CHUNKS {
        @Override
        byte[] framed(byte[] body) {
            return chunked(body, 1);
        }

        @Override
        String framing(int bodyBytes) {
            return CHUNKED;
        }
    },
    /** A body that announces a gigabyte and sends less. */
    ANNOUNCED_TOO_LARGE {
        @Override
        String framing(int bodyBytes) {
            return contentLength(TOO_LARGE_BYTES);
        }
    },
    /** A chunked body of sixteen times the given size, which announces nothing. */
    SENT_TOO_LARGE {
        @Override
        byte[] framed(byte[] body) {
            byte[] repeated = new byte[body.length * OVERSIZE_FACTOR];
            Arrays.fill(repeated, (byte) ' ');
            System.arraycopy(body, 0, repeated, 0, body.length);
            return chunked(repeated, LARGE_CHUNK_BYTES);
        }

        @Override
        String framing(int bodyBytes) {
            return CHUNKED;
        }
    },
    /** A head of many lines and of the given size, without a body. */
    LARGE_HEADS {
        @Override
        byte[] framed(byte[] body) {
            return new byte[0];
        }

        @Override
        String framing(int bodyBytes) {
            return contentLength(0) + fields(HEAD_LINES, bodyBytes / HEAD_LINES);
        }
    },
    /** A body of legal size after a large head: twenty fields of 15 KB that nobody reads. */
    HEADS_BEFORE_BODIES {
        @Override
        String framing(int bodyBytes) {
            return contentLength(bodyBytes) + fields(HEAD_FIELDS, HEAD_FIELD_BYTES);
        }
    },
    /** A compressed body whose size within the limit stands for a thousand times as much. */
    COMPRESSED {
        @Override
        byte[] framed(byte[] body) {
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            try (GZIPOutputStream compressed = new GZIPOutputStream(output)) {
                byte[] spaces = new byte[body.length];
                Arrays.fill(spaces, (byte) ' ');
                while (output.size() < body.length / 2) {
                    compressed.write(spaces);
                }
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
            return chunked(output.toByteArray(), LARGE_CHUNK_BYTES);
        }

        @Override
        String framing(int bodyBytes) {
            return CHUNKED + "\r\nContent-Encoding: gzip";
        }
    },
    /** A body of legal size with as many steps as it can hold, none of which waits for another. */
    MANY_STEPS {
        @Override
        String steps(int bodyBytes) {
            return repeat(SMALLEST_STEP, bodyBytes);
        }
    },
    /** The same with steps that all wait for the first one, which runs for a minute. */
    MANY_LATER_STEPS {
        @Override
        String steps(int bodyBytes) {
            return FIRST_STEP + ',' + repeat(LATER_STEP, bodyBytes);
        }
    };

    /** A step that needs nothing. */
    private static final String SMALLEST_STEP = "{\"count\":1}";

    /** A step that runs for a minute. */
    private static final String FIRST_STEP = "{\"count\":1,\"cpu\":10,\"estimate_ms\":60000}";

    /** A step that waits for the first one. */
    private static final String LATER_STEP = "{\"count\":1,\"after\":[0]}";

    /** The bytes of a body that are not filled with steps. */
    private static final int BODY_RESERVE_BYTES = 200;

    /** The number of fields in a large head. */
    private static final int HEAD_FIELDS = 20;

    /** The size of a field in a large head, in bytes. */
    private static final int HEAD_FIELD_BYTES = 15_000;

    /** The number of lines of a large head, below the limit of the HTTP library. */
    private static final int HEAD_LINES = 80;

    /** The bytes that are sent at a time where nothing else is said. */
    private static final int LARGE_PIECE_BYTES = 1 << 16;

    /** The bytes that are sent at a time by callers that send small pieces. */
    private static final int SMALL_PIECE_BYTES = 4 << 10;

    /** The size of a large chunk, in bytes. */
    private static final int LARGE_CHUNK_BYTES = 16 << 10;

    /** The length of a body that announces more than any limit allows, in bytes. */
    private static final int TOO_LARGE_BYTES = 1 << 30;

    /** How often a body that is too large has the size of one within the limit. */
    private static final int OVERSIZE_FACTOR = 16;

    /** The header of a chunked body. */
    private static final String CHUNKED = "Transfer-Encoding: chunked";

    /** The end of a line of HTTP. */
    private static final byte[] LINE_END = {'\r', '\n'};

    /**
     * Writes a body as this caller frames it.
     *
     * @param body the body
     * @return what follows the head on the connection
     */
    byte[] framed(byte[] body) {
        return body;
    }

    /**
     * Returns the header that tells the end of the body, and others if this caller sends some.
     *
     * @param bodyBytes the size of the body, in bytes
     * @return the headers without the last line end
     */
    String framing(int bodyBytes) {
        return contentLength(bodyBytes);
    }

    /**
     * Returns the steps of the submission.
     *
     * @param bodyBytes the size of the body, in bytes
     * @return JSON objects, separated by commas
     */
    String steps(int bodyBytes) {
        return "{\"count\":1,\"cpu\":10,\"mem_mb\":10}";
    }

    /**
     * Repeats a step as often as a body can hold it.
     *
     * @param step the step, a JSON object
     * @param bodyBytes the size of the body, in bytes
     * @return the steps, separated by commas
     */
    private static String repeat(String step, int bodyBytes) {
        int count = (bodyBytes - BODY_RESERVE_BYTES) / (step.length() + 1);
        return String.join(",", Collections.nCopies(count, step));
    }

    /**
     * Returns how much is sent at a time.
     *
     * @return the number of bytes
     */
    int pieceBytes() {
        return LARGE_PIECE_BYTES;
    }

    /**
     * Returns the header with the length of a body.
     *
     * @param bytes the length, in bytes
     * @return the header without its line end
     */
    private static String contentLength(int bytes) {
        return "Content-Length: " + bytes;
    }

    /**
     * Returns headers that nobody reads.
     *
     * @param count the number of headers
     * @param bytes the size of the value of each, in bytes
     * @return the headers, each after a line end
     */
    private static String fields(int count, int bytes) {
        StringBuilder lines = new StringBuilder();
        for (int number = 0; number < count; number++) {
            lines.append("\r\nX-Note-").append(number).append(": ").append("x".repeat(bytes));
        }
        return lines.toString();
    }

    /**
     * Splits a body into chunks.
     *
     * @param body the body
     * @param chunkBytes the size of a chunk, in bytes
     * @return the chunks with their sizes, and the chunk of size zero that ends the body
     */
    private static byte[] chunked(byte[] body, int chunkBytes) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        for (int offset = 0; offset < body.length; offset += chunkBytes) {
            int size = Math.min(chunkBytes, body.length - offset);
            output.writeBytes(Integer.toHexString(size).getBytes(StandardCharsets.US_ASCII));
            output.writeBytes(LINE_END);
            output.write(body, offset, size);
            output.writeBytes(LINE_END);
        }
        output.write('0');
        output.writeBytes(LINE_END);
        output.writeBytes(LINE_END);
        return output.toByteArray();
    }
}
