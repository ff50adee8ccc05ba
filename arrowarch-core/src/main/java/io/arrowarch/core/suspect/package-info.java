/**
 * Requests that end the servers that run them: knows them again when they come back, at any router,
 * and keeps them from servers.
 *
 * <p>A request is suspected after servers that end while it is open there, and is cleared by any
 * server that runs it to an answer. Routers tell each other both. Design: {@code
 * docs/design/crashing-requests.md}.
 */
package io.arrowarch.core.suspect;
