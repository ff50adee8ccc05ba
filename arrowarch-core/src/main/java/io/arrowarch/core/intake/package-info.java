/** What an event loop does next, and how long what it handles may have waited. */
package io.arrowarch.core.intake;
