/**
 * Local deployments: emulated store and workers, and the production program of the entry VMs in
 * separate processes.
 */
@NullMarked
package org.damasktiller.lab.rig;

import org.jspecify.annotations.NullMarked;
