/** Which process owns which cell, and the manifest in force. */
@NullMarked
package org.damasktiller.node.cluster;

import org.jspecify.annotations.NullMarked;
