package org.damasktiller.authority.cell;

import org.damasktiller.identity.WorkerId;
import org.damasktiller.vm.VmState;

/**
 * Names a worker of the cell with what the platform's list says of it.
 *
 * @param worker the worker
 * @param state what the list says; GONE means that nothing runs on it any more
 */
public record CellWorker(WorkerId worker, VmState state) {}
