/**
 * Recognizes requests that crash the servers that run them when they are resubmitted to any router,
 * and stops sending them to servers.
 *
 * <p>A request is suspected after several servers crashed while it was open there, and is cleared
 * when any server answers it. Routers report both to each other. Design: {@code
 * docs/design/crashing-requests.md}.
 */
package io.arrowarch.core.suspect;
