/**
 * Reads the bytes of HTTP/1.1 responses strictly, in front of the HTTP library's lenient decoder.
 */
package io.arrowarch.node.http;
