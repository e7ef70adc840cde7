package org.damasktiller.table;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;

/** Creates the exceptions that reject a table. */
final class TableErrors {

    /** Prevents instantiation. */
    private TableErrors() {}

    /**
     * Creates a BAD_TABLE error for an invalid cell.
     *
     * @param rowLabel the row number and, if known, the kind of the row, such as {@code 3
     *     (billing)}
     * @param column the name of the column
     * @param value the text of the cell
     * @param allowed the description of the allowed values
     * @return the exception to throw
     */
    static DamasktillerException badCell(
            String rowLabel, String column, String value, String allowed) {
        return badTable(
                "row "
                        + rowLabel
                        + ", column "
                        + column
                        + ", value '"
                        + value
                        + "': allowed is "
                        + allowed);
    }

    /**
     * Creates a BAD_TABLE error.
     *
     * @param message what is wrong and what is allowed instead
     * @return the exception to throw
     */
    static DamasktillerException badTable(String message) {
        return error(ErrorCode.BAD_TABLE, message);
    }

    /**
     * Creates an error of the operation TABLE without a peer; nothing was run.
     *
     * @param code the error code
     * @param message what is wrong and what is allowed instead
     * @return the exception to throw
     */
    static DamasktillerException error(ErrorCode code, String message) {
        return new DamasktillerException(code, Operation.TABLE, "", Outcome.NOT_RUN, message);
    }
}
