package org.damasktiller.daemon.operator;

import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.LongConsumer;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.KindName;
import org.damasktiller.standin.http.JsonServlets;
import org.damasktiller.table.CellEdits;
import org.damasktiller.table.EditId;
import org.damasktiller.table.EditResult;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.RowChange;
import org.damasktiller.table.TableDelta;
import org.damasktiller.table.TableEdit;
import org.damasktiller.table.TableReader;
import org.damasktiller.table.TableRepository;
import org.damasktiller.table.TableWriter;

/** Serves the operators' interface to the table. */
public final class TableServlets {

    /** How many edits the history tells at most. */
    private static final int HISTORY_COUNT = 50;

    /** The largest request accepted, in bytes: a table in JSON. */
    private static final int MAXIMUM_REQUEST_BYTES = 2 * TableReader.MAXIMUM_BYTES;

    /** The table in the store. */
    private final TableRepository repository;

    /** Told of the version of each accepted edit. */
    private final LongConsumer acceptedListener;

    /**
     * Creates the servlets.
     *
     * @param repository the table in the store
     * @param acceptedListener told of the version of each accepted edit
     */
    public TableServlets(TableRepository repository, LongConsumer acceptedListener) {
        this.repository = repository;
        this.acceptedListener = acceptedListener;
    }

    /**
     * Makes the routes.
     *
     * @param reactor the reactor that serves
     * @return the routes
     */
    public RoutingServlet routes(Reactor reactor) {
        return RoutingServlet.builder(reactor)
                .with(
                        HttpMethod.GET,
                        OperatorPaths.TABLE,
                        JsonServlets.get(
                                request -> repository.read().map(TableServlets::tableBody)))
                .with(
                        HttpMethod.POST,
                        OperatorPaths.TABLE,
                        JsonServlets.post(TablePutBody.class, MAXIMUM_REQUEST_BYTES, this::put))
                .with(
                        HttpMethod.POST,
                        OperatorPaths.TABLE_CELL,
                        JsonServlets.post(
                                TableCellBody.class, MAXIMUM_REQUEST_BYTES, this::editCell))
                .with(
                        HttpMethod.GET,
                        OperatorPaths.TABLE_HISTORY,
                        JsonServlets.get(
                                request ->
                                        repository
                                                .history(HISTORY_COUNT)
                                                .map(TableServlets::historyBody)))
                .build();
    }

    /**
     * Puts a table in place of an earlier version.
     *
     * @param body the request
     * @return the answer
     */
    private Promise<TableChangeBody> put(TablePutBody body) {
        byte[] csv = body.csv().getBytes(StandardCharsets.UTF_8);
        return repository
                .put(editId(body.editId()), body.operator(), body.baseVersion(), csv)
                .map(this::accepted);
    }

    /**
     * Changes one cell.
     *
     * @param body the request
     * @return the answer
     */
    private Promise<TableChangeBody> editCell(TableCellBody body) {
        EditId id = editId(body.editId());
        KindName kind = new KindName(body.kind());
        return base(body.baseVersion())
                .then(
                        base -> {
                            OperatorTable wanted =
                                    CellEdits.withCell(base, kind, body.column(), body.value());
                            return repository.edit(
                                    new TableEdit(id, body.operator(), base, wanted));
                        })
                .map(this::accepted);
    }

    /**
     * Reads the table from which an edit started.
     *
     * @param version the version, or zero for the one in force
     * @return the table
     */
    private Promise<OperatorTable> base(long version) {
        return version == 0 ? repository.read() : repository.readAt(version);
    }

    /**
     * Makes the answer to an accepted edit.
     *
     * @param result the result
     * @return the body
     */
    private TableChangeBody accepted(EditResult result) {
        acceptedListener.accept(result.version());
        return new TableChangeBody(result.version(), describe(result.changes()));
    }

    /**
     * Reads the identity of an edit.
     *
     * @param text the text
     * @return the identity
     */
    private static EditId editId(String text) {
        try {
            return new EditId(text);
        } catch (IllegalArgumentException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_REQUEST,
                    Step.ACCEPT,
                    "",
                    Outcome.NOT_RUN,
                    "editId '" + text + "': " + exception.getMessage(),
                    exception);
        }
    }

    /**
     * Makes the body that tells a table.
     *
     * @param table the table
     * @return the body
     */
    private static TableBody tableBody(OperatorTable table) {
        String csv = new String(TableWriter.write(table), StandardCharsets.UTF_8);
        return new TableBody(table.version(), csv);
    }

    /**
     * Makes the body that tells the accepted edits.
     *
     * @param deltas the edits
     * @return the body
     */
    private static TableHistoryBody historyBody(List<TableDelta> deltas) {
        return new TableHistoryBody(
                deltas.stream()
                        .map(
                                delta ->
                                        new TableHistoryBody.EditBody(
                                                delta.version(),
                                                delta.id().value(),
                                                delta.operator(),
                                                delta.acceptedAtMillis(),
                                                describe(delta.changes())))
                        .toList());
    }

    /**
     * Describes changed rows.
     *
     * @param changes the rows
     * @return a line each
     */
    private static List<String> describe(List<RowChange> changes) {
        return changes.stream().map(RowChange::describe).toList();
    }
}
