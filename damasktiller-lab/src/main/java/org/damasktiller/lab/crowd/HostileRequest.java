package org.damasktiller.lab.crowd;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of one hostile request. Requests with the same body share it.
 *
 * @param head the request line and the headers
 * @param body what follows them
 * @param bytesLeftOut how many bytes at the end are never sent
 * @param pieceBytes how many bytes are sent at a time
 */
@SuppressWarnings("ArrayRecordComponent")
record HostileRequest(byte[] head, byte[] body, int bytesLeftOut, int pieceBytes) {

    /**
     * Creates a request.
     *
     * @param kind what the caller sends
     * @param host the host of the route
     * @param path the path of the submission
     * @param bodyBytes the size of the body before its framing, in bytes
     * @param framed the body as the caller frames it
     * @param complete whether the end of the body is sent
     * @return the request
     */
    static HostileRequest create(
            HostileKind kind,
            String host,
            String path,
            int bodyBytes,
            byte[] framed,
            boolean complete) {
        String head =
                String.join(
                        "\r\n",
                        "POST " + path + " HTTP/1.1",
                        "Host: " + host,
                        kind.framing(bodyBytes),
                        "",
                        "");
        return new HostileRequest(
                head.getBytes(StandardCharsets.US_ASCII),
                framed,
                complete ? 0 : 1,
                kind.pieceBytes());
    }

    /**
     * Returns everything that is sent.
     *
     * @return the head and the part of the body that is sent
     */
    ByteBuffer[] toBuffers() {
        int sentBodyBytes = Math.max(0, body.length - bytesLeftOut);
        int sentHeadBytes = body.length == 0 ? head.length - bytesLeftOut : head.length;
        return new ByteBuffer[] {
            ByteBuffer.wrap(head, 0, sentHeadBytes), ByteBuffer.wrap(body, 0, sentBodyBytes)
        };
    }
}
