package org.damasktiller.scheduler.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The cells that have a part of a submission, stored under the submission's identifier once tasks
 * of it have moved. Each move and the end of the submission replace or remove it, so that they
 * conflict with each other.
 *
 * @param first the name of the cell that accepted the submission
 * @param stepsByCell for each other cell with a part, the step of each task that came to it
 */
public record PartsRecord(String first, Map<String, List<Integer>> stepsByCell) {

    /** Sorts the cells by name. */
    public PartsRecord {
        stepsByCell = new TreeMap<>(stepsByCell);
    }

    /**
     * Returns all cells that have a part.
     *
     * @return the names of the cells, that of the first cell first
     */
    public List<String> allCells() {
        List<String> cells = new ArrayList<>(List.of(first));
        cells.addAll(stepsByCell.keySet());
        return cells;
    }

    /**
     * Counts the tasks of a step that have their home in a cell.
     *
     * @param cell the name of the cell
     * @param step the number of the step
     * @param taskCount the number of tasks of the step
     * @return the number of tasks
     */
    public int countTasks(String cell, int step, int taskCount) {
        if (cell.equals(first)) {
            int elsewhere = 0;
            for (String other : stepsByCell.keySet()) {
                elsewhere += countTasks(other, step, taskCount);
            }
            return taskCount - elsewhere;
        }
        return (int)
                stepsByCell.getOrDefault(cell, List.of()).stream()
                        .filter(number -> number == step)
                        .count();
    }

    /**
     * Returns the record after a move.
     *
     * @param from the name of the cell that the tasks leave
     * @param to the name of the cell that they come to
     * @param step the number of their step
     * @param count the number of tasks
     * @return the new record
     */
    public PartsRecord afterMove(String from, String to, int step, int count) {
        Map<String, List<Integer>> steps = new TreeMap<>();
        stepsByCell.forEach((cell, numbers) -> steps.put(cell, new ArrayList<>(numbers)));
        for (int number = 0; number < count; number++) {
            if (!from.equals(first)) {
                steps.computeIfAbsent(from, cell -> new ArrayList<>()).remove((Integer) step);
            }
            if (!to.equals(first)) {
                steps.computeIfAbsent(to, cell -> new ArrayList<>()).add(step);
            }
        }
        return new PartsRecord(first, steps);
    }
}
