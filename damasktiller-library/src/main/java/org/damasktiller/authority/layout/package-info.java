/** The fixed division of workers and jobs into cells. */
@NullMarked
package org.damasktiller.authority.layout;

import org.jspecify.annotations.NullMarked;
