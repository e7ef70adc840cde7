package org.damasktiller.verification.cell;

import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.damasktiller.worker.TaskSpec;

/** Makes submissions for tests. */
final class Submissions {

    private Submissions() {}

    static JobSubmission of(String key, Repeat repeat, long processors, long runTimeMillis) {
        return new JobSubmission(
                new RequestKey(key),
                new TenantName("tenant"),
                WorkClass.BATCH,
                repeat,
                new TaskSpec(
                        new KindName("kind"),
                        new Resources(processors, 100, 0),
                        runTimeMillis,
                        "key:" + key));
    }
}
