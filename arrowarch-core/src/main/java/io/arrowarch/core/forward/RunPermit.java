package io.arrowarch.core.forward;

/** Whether attempts of a request may still be sent. */
interface RunPermit {
  /** Of a request that needs no key. */
  RunPermit ALWAYS = () -> true;

  /** Asked at the moment of sending: knowledge grows old while a request waits. */
  boolean holds();
}
