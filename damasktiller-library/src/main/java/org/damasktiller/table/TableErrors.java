package org.damasktiller.table;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;

/** Makes the errors of tables. */
final class TableErrors {

    /** Prevents instantiation. */
    private TableErrors() {}

    /**
     * Makes the error of a cell that is not allowed.
     *
     * @param row where the row stands, such as {@code 3 (billing)}
     * @param column the column
     * @param value the text of the cell
     * @param allowed what is allowed
     * @return the error
     */
    static DamasktillerException badCell(String row, String column, String value, String allowed) {
        return badTable(
                "row "
                        + row
                        + ", column "
                        + column
                        + ", value '"
                        + value
                        + "': allowed is "
                        + allowed);
    }

    /**
     * Makes the error of a table that is not allowed.
     *
     * @param message what is wrong and what is allowed
     * @return the error
     */
    static DamasktillerException badTable(String message) {
        return error(ErrorCode.BAD_TABLE, message);
    }

    /**
     * Makes an error of the table step.
     *
     * @param code the code
     * @param message what is wrong and what is allowed
     * @return the error
     */
    static DamasktillerException error(ErrorCode code, String message) {
        return new DamasktillerException(code, Step.TABLE, "", Outcome.NOT_RUN, message);
    }
}
