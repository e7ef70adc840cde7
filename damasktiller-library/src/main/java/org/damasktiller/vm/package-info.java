/** The platform's lagging list of live and leaving VMs. */
@NullMarked
package org.damasktiller.vm;

import org.jspecify.annotations.NullMarked;
