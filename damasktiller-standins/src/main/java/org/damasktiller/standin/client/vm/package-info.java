/** Client of the platform's list of VMs. */
@NullMarked
package org.damasktiller.standin.client.vm;

import org.jspecify.annotations.NullMarked;
