/** Bytes that are received in parts. */
export interface ByteCollector {
  /** Adds a part; its buffer must not change afterwards. */
  add(part: Buffer): void;
  /** Returns the number of bytes received so far. */
  getLength(): number;
  /** Returns all bytes received so far, in one buffer. */
  concatenate(): Buffer;
  /** Forgets all bytes. */
  clear(): void;
}
