/** A loopback proxy that delays, holds back, silences and resets connections. */
@NullMarked
package org.damasktiller.lab.link;

import org.jspecify.annotations.NullMarked;
