/** JSON over HTTP between the project's own processes and the stand-ins. */
@NullMarked
package org.damasktiller.standin.http;

import org.jspecify.annotations.NullMarked;
