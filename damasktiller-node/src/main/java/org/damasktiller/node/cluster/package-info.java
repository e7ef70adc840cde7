/**
 * ClusterMember membership, the election of cell owners, and the watch on the operator's manifest.
 */
@NullMarked
package org.damasktiller.node.cluster;

import org.jspecify.annotations.NullMarked;
