/**
 * Tenants: identifies callers by their API keys, and keeps each tenant within its rate limit over
 * all routers together. Only the hashes of keys are kept.
 */
package io.arrowarch.core.tenant;
