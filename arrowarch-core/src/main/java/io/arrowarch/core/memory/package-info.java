/** Bounds what other parties make a router hold. */
package io.arrowarch.core.memory;
