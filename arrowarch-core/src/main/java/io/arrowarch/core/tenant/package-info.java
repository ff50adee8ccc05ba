/**
 * Tenants: who a caller is by its key, and how much each tenant may ask of all routers together.
 * Keys are known by their hashes only.
 */
package io.arrowarch.core.tenant;
