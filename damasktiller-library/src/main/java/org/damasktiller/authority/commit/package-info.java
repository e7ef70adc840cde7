/** Commits entries in groups to a log on the key-value service. */
@NullMarked
package org.damasktiller.authority.commit;

import org.jspecify.annotations.NullMarked;
