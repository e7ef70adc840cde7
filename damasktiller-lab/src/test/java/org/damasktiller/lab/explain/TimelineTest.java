package org.damasktiller.lab.explain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the timeline of a submission that is read from the logs of two VMs. */
class TimelineTest {

    private static final String ID = "fc03fb14264fec1d";

    private static final String FIRST =
            """
            output of the JVM
            {"time":1000,"node":"vm-1","event":"submission.answered","id":"fc03fb14264fec1d","status":200}
            {"time":5000,"node":"vm-1","event":"store.lost","answeredAgo":1800}
            {"time":9000,"node":"vm-1","event":"submission.answered","id":"0000000000000001","status":200}
            """;

    private static final String SECOND =
            """
            collector: {"time":1100,"node":"vm-2","event":"run.start","task":"fc03fb14264fec1d.0.0.0","run":1,"worker":"w0"}
            {"time":1500,"node":"vm-2","event":"filler.pause","worker":"w0","overMillis":1700}
            {"time":1600,"node":"vm-2","event":"filler.pause","worker":"w9","overMillis":1700}
            {"time":2500,"node":"vm-2","event":"run.lost","task":"fc03fb14264fec1d.0.0.0","run":1,"worker":"w0","reason":"the worker restarted"}
            {"time":2550,"node":"vm-2","event":"zone.evacuated","zone":"east","revision":7}
            {"time":2560,"node":"vm-2","event":"room.reserved","step":"fc03fb14264fec1d.0.0","worker":"w1"}
            {"time":2570,"node":"vm-2","event":"step.waiting","step":"fc03fb14264fec1d.0.0","cause":"NO_WORKER","workers":"{NO_ROOM=2}"}
            {"time":2600,"node":"vm-2","event":"run.start","task":"fc03fb14264fec1d.0.0.0","run":2,"worker":"w1"}
            {"time":3600,"node":"vm-2","event":"job.closed","id":"fc03fb14264fec1d","state":"SUCCEEDED"}
            """;

    @TempDir private Path directory;

    @Test
    void showsTheSubmissionAndTheEventsOfItsWorkers() throws IOException {
        Timeline timeline = new Timeline(ID, readLogs());
        List<String> lines = timeline.lines();
        assertThat(lines, hasSize(10));
        assertThat(lines, hasItem(containsString("filler.pause")));
        assertThat(lines, hasItem(containsString("zone.evacuated")));
        assertThat(lines, hasItem(containsString("room.reserved")));
        assertThat(lines, hasItem(containsString("NO_ROOM=2")));
        assertThat(lines, not(hasItem(containsString("w9"))));
        assertThat(
                lines.get(9),
                is(
                        "summary: 2 starts of 1 tasks, 1 runs lost, 0 starts refused; last"
                                + " job.closed after 2600 ms"));
    }

    @Test
    void reportsThatNoLineRefersToTheSubmission() throws IOException {
        Timeline timeline = new Timeline("ffffffffffffffff", readLogs());
        assertThat(timeline.isEmpty(), is(true));
        assertThat(timeline.lines(), hasItem(containsString("no line")));
    }

    /** Arbitrary text before the log lines must be skipped, and the log lines must be read. */
    @Property(tries = 200)
    void skipsArbitraryTextBeforeTheLog(@ForAll String text) throws IOException {
        Path file = Files.createTempFile("timeline", ".log");
        Files.writeString(file, text.replace("\\ud800", "") + '\n' + FIRST);
        assertThat(new Timeline(ID, new LogReader().read(List.of(file))).isEmpty(), is(false));
        Files.delete(file);
    }

    private LogLines readLogs() throws IOException {
        Path first = Files.writeString(directory.resolve("vm-1.log"), FIRST);
        Path second = Files.writeString(directory.resolve("vm-2.log"), SECOND);
        return new LogReader().read(List.of(first, second));
    }
}
