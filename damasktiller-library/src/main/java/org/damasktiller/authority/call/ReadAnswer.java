package org.damasktiller.authority.call;

import java.util.Optional;
import org.damasktiller.store.StoredValue;

/**
 * Answers a read.
 *
 * @param value the value, or empty if the key is absent
 */
public record ReadAnswer(Optional<StoredValue> value) implements StoreAnswer {}
