/** Queues that decide which waiting work is next. */
package io.arrowarch.core.waiting;
