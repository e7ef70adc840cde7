package org.damasktiller.daemon.cell;

import java.util.List;
import java.util.function.Supplier;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.StartPolicy;
import org.damasktiller.authority.cell.StartRule;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.identity.CellId;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;

/**
 * Takes the rules of a cell from the table in force. A limit is split evenly and for good among the
 * cells in which the kind may run, so that the cells together keep within it whoever is cut off; a
 * tenant's quota is split among all cells. Safe for use by several threads.
 */
final class TableStartPolicy implements StartPolicy {

    /** Gives the table in force. */
    private final Supplier<OperatorTable> table;

    /** The division into cells. */
    private final CellLayout layout;

    /** The cell. */
    private final CellId cell;

    /**
     * Creates the rules of a cell.
     *
     * @param table gives the table in force
     * @param layout the division into cells
     * @param cell the cell
     */
    TableStartPolicy(Supplier<OperatorTable> table, CellLayout layout, CellId cell) {
        this.table = table;
        this.layout = layout;
        this.cell = cell;
    }

    @Override
    public StartRule ruleFor(JobSubmission submission) {
        return table.get().row(submission.task().kind()).map(this::rule).orElse(StartRule.EVEN);
    }

    /**
     * Makes the rule of a row.
     *
     * @param row the row
     * @return the rule
     */
    private StartRule rule(KindOfWork row) {
        return new StartRule(
                row.weight(),
                layout.share(row.runningLimit(), row.places(), cell),
                layout.share(row.tenantRunningLimit(), List.of(), cell));
    }
}
