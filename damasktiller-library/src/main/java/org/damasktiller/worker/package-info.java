/** Interface of the platform's workers. */
@NullMarked
package org.damasktiller.worker;

import org.jspecify.annotations.NullMarked;
