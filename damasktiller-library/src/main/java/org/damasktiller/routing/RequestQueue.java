package org.damasktiller.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.damasktiller.identity.KindName;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.WorkClass;

/**
 * Keeps the requests that wait for a slot: the classes in their order, within a class the kinds by
 * their weight, within a kind in the order of arrival. A kind that cannot be served does not hold
 * up the others.
 */
final class RequestQueue {

    /** The kinds that wait, by class. */
    private final Map<WorkClass, Map<KindName, Line>> lines = new EnumMap<>(WorkClass.class);

    /** The number of requests that wait. */
    private int size;

    /** Creates an empty queue. */
    RequestQueue() {
        for (WorkClass workClass : WorkClass.values()) {
            lines.put(workClass, new HashMap<>());
        }
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return the number
     */
    int size() {
        return size;
    }

    /**
     * Returns how many requests wait that are served before a new one of a kind.
     *
     * @param kind the kind
     * @return the number
     */
    int ahead(KindOfWork kind) {
        int ahead = 0;
        for (Map.Entry<WorkClass, Map<KindName, Line>> entry : lines.entrySet()) {
            if (entry.getKey().compareTo(kind.workClass()) > 0) {
                break;
            }
            for (Line line : entry.getValue().values()) {
                ahead += line.waiting.size();
            }
        }
        return ahead;
    }

    /**
     * Adds a request.
     *
     * @param pending the request
     */
    void add(PendingRequest pending) {
        KindOfWork kind = pending.request().kind();
        Map<KindName, Line> ofClass = linesOf(kind.workClass());
        Line line = ofClass.computeIfAbsent(kind.name(), name -> newLine(ofClass, kind));
        line.weight = Math.max(1, kind.weight());
        line.waiting.addLast(pending);
        pending.queued = true;
        size++;
    }

    /**
     * Removes a request that was given up.
     *
     * @param pending the request
     */
    void remove(PendingRequest pending) {
        KindOfWork kind = pending.request().kind();
        Map<KindName, Line> ofClass = linesOf(kind.workClass());
        Line line = ofClass.get(kind.name());
        if (line != null && line.waiting.remove(pending)) {
            removed(ofClass, kind.name(), line, pending);
        }
    }

    /**
     * Offers the first request of each kind until none is taken any more.
     *
     * @param taker takes a request, or refuses it while its kind cannot be served
     */
    void serve(Predicate<PendingRequest> taker) {
        for (Map<KindName, Line> ofClass : lines.values()) {
            serveClass(ofClass, taker);
        }
    }

    /**
     * Returns the requests that wait.
     *
     * @return a copy in no particular order
     */
    List<PendingRequest> waiting() {
        List<PendingRequest> all = new ArrayList<>(size);
        lines.values().forEach(ofClass -> ofClass.values().forEach(l -> all.addAll(l.waiting)));
        return all;
    }

    /**
     * Offers the requests of one class.
     *
     * @param ofClass the kinds of the class
     * @param taker takes a request or refuses it
     */
    private void serveClass(Map<KindName, Line> ofClass, Predicate<PendingRequest> taker) {
        List<KindName> open = new ArrayList<>(ofClass.keySet());
        while (!open.isEmpty()) {
            KindName next = open.stream().min(Comparator.comparing(n -> served(ofClass, n))).get();
            Line line = ofClass.get(next);
            PendingRequest first = line == null ? null : line.waiting.peekFirst();
            if (line == null || first == null || !taker.test(first)) {
                open.remove(next);
                continue;
            }
            line.waiting.removeFirst();
            line.served += 1.0 / line.weight;
            removed(ofClass, next, line, first);
        }
    }

    /**
     * Returns how much a kind was served in relation to its weight.
     *
     * @param ofClass the kinds of the class
     * @param name the kind
     * @return the measure, infinite for a kind that does not wait
     */
    private static double served(Map<KindName, Line> ofClass, KindName name) {
        Line line = ofClass.get(name);
        return line == null ? Double.POSITIVE_INFINITY : line.served;
    }

    /**
     * Notes that a request left the queue.
     *
     * @param ofClass the kinds of the class
     * @param name the kind
     * @param line the line of the kind
     * @param pending the request
     */
    private void removed(
            Map<KindName, Line> ofClass, KindName name, Line line, PendingRequest pending) {
        pending.queued = false;
        size--;
        if (line.waiting.isEmpty()) {
            ofClass.remove(name);
        }
    }

    /**
     * Returns the kinds that wait in a class.
     *
     * @param workClass the class
     * @return the lines by kind
     */
    private Map<KindName, Line> linesOf(WorkClass workClass) {
        return lines.computeIfAbsent(workClass, any -> new HashMap<>());
    }

    /**
     * Creates the line of a kind that begins to wait, level with those that wait already.
     *
     * @param ofClass the kinds of the class
     * @param kind the kind
     * @return the line
     */
    private static Line newLine(Map<KindName, Line> ofClass, KindOfWork kind) {
        Line line = new Line();
        line.weight = Math.max(1, kind.weight());
        line.served = ofClass.values().stream().mapToDouble(l -> l.served).min().orElse(0);
        return line;
    }

    /** The requests of one kind that wait. */
    private static final class Line {

        /** The requests in the order of arrival. */
        private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();

        /** The weight of the kind. */
        private int weight;

        /** How much the kind was served in relation to its weight. */
        private double served;
    }
}
