/** HTTP servers of the stand-ins for the platform's services. */
@NullMarked
package org.damasktiller.standin.platform;

import org.jspecify.annotations.NullMarked;
