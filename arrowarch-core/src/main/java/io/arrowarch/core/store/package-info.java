/** How what is known of the platform's store is ordered. */
package io.arrowarch.core.store;
