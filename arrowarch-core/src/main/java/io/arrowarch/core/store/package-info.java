/** Revisions of the platform's store. */
package io.arrowarch.core.store;
