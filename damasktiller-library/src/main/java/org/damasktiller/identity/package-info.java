/** Typed names of kinds of work, tenants, availability zones and regions. */
@NullMarked
package org.damasktiller.identity;

import org.jspecify.annotations.NullMarked;
