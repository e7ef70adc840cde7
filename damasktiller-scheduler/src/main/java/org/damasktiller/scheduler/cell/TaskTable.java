package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.jspecify.annotations.Nullable;

/**
 * The records of a step's tasks. A task has a record only if it differs from what the submission
 * declares. A fresh task, which has not begun, has none; of a task that has ended without a record
 * one bit is kept.
 */
final class TaskTable implements Iterable<TaskRecord> {

    /** The number of tasks of a page; pages without records take no memory. */
    private static final int TASKS_PER_PAGE = 128;

    /** The number of tasks of the step. */
    private final int count;

    /** The pages, null for those without records. */
    private final List<@Nullable Page> pages;

    /** The indexes of the tasks that are done and have no record. */
    private final BitSet ended = new BitSet();

    /** The number of these tasks. */
    private int endedCount;

    /** The number of records. */
    private int recordCount;

    /**
     * Creates a table of fresh tasks.
     *
     * @param count the number of tasks
     */
    TaskTable(int count) {
        this.count = count;
        int pageCount = (count + TASKS_PER_PAGE - 1) / TASKS_PER_PAGE;
        this.pages = new ArrayList<>(Collections.nCopies(pageCount, null));
    }

    /**
     * Returns the number of tasks of the step.
     *
     * @return the number, with and without records
     */
    int count() {
        return count;
    }

    /**
     * Returns the number of records.
     *
     * @return the number
     */
    int recordCount() {
        return recordCount;
    }

    /**
     * Returns the number of fresh tasks.
     *
     * @return the number of tasks that have no record and have not ended
     */
    int freshCount() {
        return count - recordCount - endedCount;
    }

    /**
     * Finds the record of a task.
     *
     * @param index the number of the task in the step, from 0
     * @return the record, or null if the task has none
     */
    @Nullable TaskRecord find(int index) {
        Page page = pages.get(index / TASKS_PER_PAGE);
        return page == null ? null : page.records.get(index % TASKS_PER_PAGE);
    }

    /**
     * Returns whether a task has ended and has no record.
     *
     * @param index the number of the task in the step, from 0
     * @return whether only its bit is kept
     */
    boolean hasEnded(int index) {
        return ended.get(index);
    }

    /**
     * Returns the tasks that have ended and have no record.
     *
     * @return a copy of their bits, by index
     */
    BitSet endedIndexes() {
        return (BitSet) ended.clone();
    }

    /**
     * Returns the first fresh task from an index on.
     *
     * @param from the first index to look at
     * @return the index of the task, or the number of tasks if there is none
     */
    int nextFresh(int from) {
        int index = ended.nextClearBit(from);
        while (index < count && find(index) != null) {
            index = ended.nextClearBit(index + 1);
        }
        return Math.min(index, count);
    }

    /**
     * Adds the record of a task that has none.
     *
     * @param record the record
     */
    void add(TaskRecord record) {
        int index = record.id.index();
        int number = index / TASKS_PER_PAGE;
        Page page = pages.get(number);
        if (page == null) {
            page = new Page(Math.min(TASKS_PER_PAGE, count - number * TASKS_PER_PAGE));
            pages.set(number, page);
        }
        page.records.set(index % TASKS_PER_PAGE, record);
        page.recordCount++;
        recordCount++;
        if (ended.get(index)) {
            ended.clear(index);
            endedCount--;
        }
    }

    /**
     * Marks a fresh task as ended.
     *
     * @param index the number of the task in the step, from 0
     */
    void end(int index) {
        ended.set(index);
        endedCount++;
    }

    /** Removes the records of tasks that are done and have no runs, and keeps a bit of each. */
    void releaseEnded() {
        for (TaskRecord record : this) {
            if (record.done && record.runs.isEmpty()) {
                remove(record.id.index());
                end(record.id.index());
            }
        }
    }

    /**
     * Removes a record, and its page if that was the last one there.
     *
     * @param index the number of the task in the step, from 0
     */
    private void remove(int index) {
        int number = index / TASKS_PER_PAGE;
        Page page = pages.get(number);
        if (page != null) {
            page.records.set(index % TASKS_PER_PAGE, null);
            page.recordCount--;
            recordCount--;
            if (page.recordCount == 0) {
                pages.set(number, null);
            }
        }
    }

    /**
     * Returns the records.
     *
     * @return the records in the order of the tasks
     */
    Stream<TaskRecord> stream() {
        return StreamSupport.stream(spliterator(), false);
    }

    /**
     * Iterates over the records in the order of the tasks. Records may be added and removed
     * meanwhile; one that is added behind the present task is returned as well.
     */
    @Override
    public Iterator<TaskRecord> iterator() {
        return new RecordIterator();
    }

    /** The records of consecutive tasks. */
    private static final class Page {

        /** The records by position, null for tasks without one. */
        private final List<@Nullable TaskRecord> records;

        /** The number of records. */
        private int recordCount;

        /**
         * Creates a page without records.
         *
         * @param size the number of its tasks
         */
        Page(int size) {
            records = new ArrayList<>(Collections.nCopies(size, null));
        }
    }

    /** Finds one record after the other. */
    private final class RecordIterator implements Iterator<TaskRecord> {

        /** The index of the next task to look at. */
        private int position;

        /** The next record, or null if it is not known yet. */
        private @Nullable TaskRecord next;

        @Override
        public boolean hasNext() {
            while (next == null && position < count) {
                if (pages.get(position / TASKS_PER_PAGE) == null) {
                    position += TASKS_PER_PAGE - position % TASKS_PER_PAGE;
                } else {
                    next = find(position);
                    position++;
                }
            }
            return next != null;
        }

        @Override
        public TaskRecord next() {
            TaskRecord found = hasNext() ? next : null;
            if (found == null) {
                throw new NoSuchElementException("no record is left");
            }
            next = null;
            return found;
        }
    }
}
