import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Checks what the workers see against RULES.md. */
final class Rules {

    private static final class Seen {
        String task;
        int run;
        String worker;
        long from;
        long to = -1;
        String how = "";
        boolean noted;

        /** Whether the lease of the worker has lapsed between the end and its being taken note of. */
        boolean excused;
    }

    private final Record record;
    private final Fleet fleet;
    private final List<Seen> runs = new ArrayList<>();
    private final Map<String, Set<String>> checkpoints = new HashMap<>();
    private final Map<String, List<String>> breaks = new TreeMap<>();

    Rules(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    /** Takes note of a broken rule. */
    synchronized void broken(String rule, String format, Object... values) {
        String text = String.format(format, values);
        breaks.computeIfAbsent(rule, name -> new ArrayList<>()).add(text);
        record.add("BROKEN %s: %s", rule, text);
    }

    synchronized Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        breaks.forEach((rule, list) -> counts.put(rule, list.size()));
        return counts;
    }

    synchronized void started(Worker worker, String task, int run, String spec, String checkpoint) {
        record.add("run: %s run %d starts on %s%s", task, run, worker.id, checkpoint.isEmpty() ? "" : " from " + checkpoint);
        Submission submission = fleet.submissions.get(Fleet.submissionOf(task));
        JsonNode step = submission == null ? Http.object() : submission.step(Fleet.stepOf(task));
        if (submission == null || !submission.spec.equals(spec)) {
            broken("UNASKED", "%s run %d with another spec or of no client", task, run);
        }
        if (!checkpoint.isEmpty() && !checkpoints.getOrDefault(task, Set.of()).contains(checkpoint)) {
            broken("UNASKED", "%s run %d with the checkpoint %s", task, run, checkpoint);
        }
        String label = step.path("requirements").asText("");
        if (!label.isEmpty() && !worker.labels.contains(label)) {
            broken("ROUTE", "%s run %d without the label %s", task, run, label);
        }
        for (Seen seen : runs) {
            if (seen.task.equals(task)) {
                if (seen.to < 0) {
                    broken("TWICE", "%s run %d starts on %s while run %d is at work on %s", task, run, worker.id, seen.run, seen.worker);
                }
                if (seen.how.equals("done") && seen.noted) {
                    broken("TWICE", "%s run %d starts on %s after run %d has ended done on %s and that was taken note of",
                            task, run, worker.id, seen.run, seen.worker);
                }
            }
        }
        for (JsonNode earlier : step.path("after")) {
            String prefix = Fleet.submissionOf(task) + "." + Fleet.occurrenceOf(task) + "." + earlier.asInt() + ".";
            Set<String> done = new HashSet<>();
            runs.stream().filter(seen -> seen.how.equals("done") && seen.task.startsWith(prefix)).forEach(seen -> done.add(seen.task));
            if (done.size() < submission.step(earlier.asInt()).path("count").asInt()) {
                broken("ORDER", "%s run %d before step %d is done", task, run, earlier.asInt());
            }
        }
        Seen seen = new Seen();
        seen.task = task;
        seen.run = run;
        seen.worker = worker.id;
        seen.from = record.now();
        runs.add(seen);
    }

    synchronized void ended(String worker, String task, int run, String how) {
        record.add("run: %s run %d ends on %s: %s", task, run, worker, how);
        for (Seen seen : runs) {
            if (seen.task.equals(task) && seen.run == run && seen.worker.equals(worker) && seen.to < 0) {
                seen.to = record.now();
                seen.how = how;
            }
        }
    }

    /** Takes note that the lease of a worker has lapsed. */
    synchronized void leaseLapsed(String worker) {
        for (Seen seen : runs) {
            if (seen.worker.equals(worker) && seen.to >= 0 && !seen.noted) {
                seen.excused = true;
            }
        }
    }

    /** Takes note that an end was taken note of. */
    synchronized void noted(String worker, String task, int run, String how) {
        for (Seen seen : runs) {
            if (seen.task.equals(task) && seen.run == run && seen.worker.equals(worker) && seen.to >= 0 && !seen.noted && !seen.excused) {
                seen.noted = true;
                record.add("run: %s run %d on %s: its end %s is taken note of", task, run, worker, how);
                if (how.equals("done")) {
                    for (Seen later : runs) {
                        if (later.task.equals(task) && later != seen && later.from > seen.to) {
                            broken("TWICE", "%s run %d started on %s after run %d had ended done on %s, which is taken note of now",
                                    task, later.run, later.worker, run, worker);
                        }
                    }
                }
            }
        }
    }

    synchronized void saved(String task, String checkpoint) {
        checkpoints.computeIfAbsent(task, name -> new HashSet<>()).add(checkpoint);
    }

    /** Returns whether each task of a submission has ended done. */
    synchronized boolean isDone(Submission submission) {
        for (int step = 0; step < submission.steps.size(); step++) {
            String prefix = submission.id + ".0." + step + ".";
            Set<String> done = new HashSet<>();
            runs.stream().filter(seen -> seen.how.equals("done") && seen.task.startsWith(prefix)).forEach(seen -> done.add(seen.task));
            if (done.size() < submission.step(step).path("count").asInt()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of runs that are at work. */
    synchronized long atWork() {
        return runs.stream().filter(seen -> seen.to < 0).count();
    }
}
