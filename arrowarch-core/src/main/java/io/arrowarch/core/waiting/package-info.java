/** Work that waits for its turn: who is next. */
package io.arrowarch.core.waiting;
